#pragma once
// A gateway that owns all programs; the test takes the roles of three stores and two other gateways.
#include "metadata/constants.hpp"
#include "routing/turn_coordinator.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

inline Address address_of(uint64_t daemon) {
  return "10.0.0." + std::to_string(daemon) + ":1";
}

inline DaemonInfo candidate(uint64_t incarnation, Role role, const std::string& zone) {
  auto machine = "machine-" + std::to_string(incarnation);
  return {Incarnation{incarnation}, role, zone, address_of(incarnation), "", "", machine};
}

/// Gateway 1 owns all partitions, gateways 2 and 3 serve callers; the histories are on the stores 11, 12 and 13.
inline Metadata small_cluster() {
  Metadata metadata{};
  metadata.epoch = Epoch{5};
  metadata.cluster = 7;
  metadata.configured_replication_factor = 3;
  for (uint64_t daemon : {1, 2, 3, 11, 12, 13}) {
    auto role = daemon < 10 ? Role::gateway : Role::store;
    auto self = candidate(daemon, role, "z" + std::to_string(daemon));
    metadata.directory[DaemonId{daemon}] = {DaemonId{daemon}, self, DaemonState::up, Epoch{2}};
  }
  Partition partition{DaemonId{1}, Epoch{4}, {DaemonId{11}, DaemonId{12}, DaemonId{13}}, {}, Epoch{3}};
  metadata.partitions.assign(kPartitionCount, partition);
  return metadata;
}

/// Removes and returns the messages of one kind from an outbox, with their receivers.
template <class Body>
std::vector<std::pair<Address, Body>> take_sent(Outbox& outbox) {
  std::vector<std::pair<Address, Body>> taken;
  for (auto& envelope : outbox.actions.now)
    if (auto* body = std::get_if<Body>(&envelope.body))
      taken.push_back({envelope.to, *body});
  std::erase_if(outbox.actions.now, [](auto& envelope) { return std::holds_alternative<Body>(envelope.body); });
  return taken;
}

/// Removes and returns the messages of one kind from an outbox, without their receivers.
template <class Body>
std::vector<Body> take_bodies(Outbox& outbox) {
  std::vector<Body> bodies;
  for (auto& [receiver, body] : take_sent<Body>(outbox))
    bodies.push_back(body);
  return bodies;
}

/// Gateway 1, the owner of all programs.
struct Owner {
  Identity identity{candidate(1, Role::gateway, "z1"), {}, 0, 99};
  Outbox outbox{identity};
  MetadataLog metadata_log;
  HistoryWriter history_writer{outbox, metadata_log};
  TurnCoordinator coordinator{outbox, metadata_log, history_writer};
  TimePoint now{1000ms};

  Owner() {
    metadata_log.install_snapshot(small_cluster());
    outbox.cluster = 7;
    outbox.epoch = metadata_log.epoch();
  }

  static Envelope from(uint64_t sender, Message body) {
    Envelope envelope{};
    envelope.cluster = 7;
    envelope.epoch = Epoch{5};
    envelope.from = address_of(sender);
    envelope.from_incarnation = Incarnation{sender};
    envelope.body = std::move(body);
    return envelope;
  }

  void receive(uint64_t sender, Message body) {
    auto envelope = from(sender, std::move(body));
    if (!history_writer.handle(envelope, now))
      coordinator.handle(envelope, now);
    coordinator.advance(history_writer.take_changed(), now);
  }

  template <class Body>
  std::vector<Body> take() {
    return take_bodies<Body>(outbox);
  }

  template <class Body>
  Body take_one() {
    auto bodies = take<Body>();
    REQUIRE(bodies.size() == 1);
    return bodies[0];
  }

  /// Lets two stores (a majority) reply until no request is in flight. Returns the records that were sent to them.
  Records complete_writes() {
    constexpr int kMaxRounds = 20;
    Records written;
    for (int round = 0; round < kMaxRounds; ++round) {
      auto reads = take_sent<ReadHistory>(outbox);
      auto appends = take_sent<AppendHistory>(outbox);
      if (reads.empty() && appends.empty())
        break;
      for (auto& [receiver, append] : appends)
        if (receiver == address_of(11))
          written.insert(written.end(), append.records.begin(), append.records.end());
      for (uint64_t store : {11, 12})
        reply(store, reads, appends);
    }
    return written;
  }

  /// Lets two stores refuse all reads in flight, as they do once they have granted a read to a newer owner.
  void refuse_reads() {
    for (auto& [receiver, read] : take_sent<ReadHistory>(outbox))
      for (uint64_t store : {11, 12})
        if (receiver == address_of(store))
          receive(store, ReadHistoryReply{read.history, read.term, false, {}, false, {}});
  }

 private:
  void reply(uint64_t store, const std::vector<std::pair<Address, ReadHistory>>& reads,
             const std::vector<std::pair<Address, AppendHistory>>& appends) {
    for (auto& [receiver, read] : reads)
      if (receiver == address_of(store))
        receive(store, ReadHistoryReply{read.history, read.term, true, {}, false, {}});
    for (auto& [receiver, append] : appends)
      if (receiver == address_of(store))
        receive(store,
                AppendHistoryReply{append.history, append.term, true, false, append.from + append.records.size()});
  }
};

/// A turn of program p on a path that keeps history, for at most 100 tokens.
inline ReserveTurn turn(const std::string& attempt, const std::string& parent = "", uint64_t budget = 1000) {
  return {attempt, "p", parent, "in:" + attempt + ";", budget, 100, true, 60000, 4000};
}

}  // namespace mosskeel::test
