#pragma once
// A front with three stores in a directory of its own making, for the parts of the traffic.
#include "routing/turn_coordinator.hpp"

namespace mosskeel::test {

inline Candidate candidate(uint64_t incarnation, Role r, const std::string& zone) {
  return {Incarnation{incarnation},
          r,
          zone,
          "10.0.0." + std::to_string(incarnation) + ":1",
          "",
          "",
          "machine-" + std::to_string(incarnation)};
}

/// Front 1 owns all partitions, 2 and 3 carry callers; stores 11, 12, 13 keep them.
inline Metadata small_fleet() {
  Metadata m{};
  m.epoch = Epoch{5};
  m.cluster = 7;
  m.configured_replication_factor = 3;
  for (uint64_t i : {1, 2, 3, 11, 12, 13}) {
    auto r = i < 10 ? Role::front : Role::store;
    m.directory[DaemonId{i}] = {DaemonId{i}, candidate(i, r, "z" + std::to_string(i)), DaemonState::up, Epoch{2}};
  }
  Partition s{DaemonId{1}, Epoch{4}, {DaemonId{11}, DaemonId{12}, DaemonId{13}}, {}, Epoch{3}};
  m.partitions.assign(64, s);
  return m;
}

struct Owner {
  Identity id{candidate(1, Role::front, "z1"), {}, 0, 99};
  Outbox out{id};
  MetadataLog metadata_log;
  HistoryWriter history_writer{out, metadata_log};
  TurnCoordinator reg{out, metadata_log, history_writer};
  Millis now = 1000;
  Owner() {
    metadata_log.install_snapshot(small_fleet());
    out.cluster = 7;
    out.epoch = metadata_log.epoch();
  }
  static Envelope from(uint64_t who, Message m) {
    Envelope e{};
    e.cluster = 7;
    e.epoch = Epoch{5};
    e.from = "10.0.0." + std::to_string(who) + ":1";
    e.from_inc = Incarnation{who};
    e.body = std::move(m);
    return e;
  }
  /// Takes what was sent, as bodies of one kind.
  template <class T>
  std::vector<std::pair<Address, T>> sent() {
    std::vector<std::pair<Address, T>> v;
    for (auto& e : out.act.now)
      if (auto* x = std::get_if<T>(&e.body))
        v.push_back({e.to, *x});
    std::erase_if(out.act.now, [](auto& e) { return std::holds_alternative<T>(e.body); });
    return v;
  }
  void hear(uint64_t who, Message m) {
    auto e = from(who, std::move(m));
    if (!history_writer.handle(e, now))
      reg.handle(e, now);
    reg.advance(history_writer.take_changed(), now);
  }
  /// Lets two stores answer whatever is under way, until nothing is; what they were told to keep comes back.
  Records settle_writes() {
    Records all;
    for (int i = 0; i < 20; ++i) {
      auto r = sent<ReadHistory>();
      auto w = sent<AppendHistory>();
      if (r.empty() && w.empty())
        break;
      for (uint64_t who : {11, 12}) {
        auto at = "10.0.0." + std::to_string(who) + ":1";
        for (auto& [to, x] : r)
          if (to == at)
            hear(who, ReadHistoryReply{x.history, x.term, true, {}, false, {}});
        for (auto& [to, x] : w) {
          if (to != at)
            continue;
          if (who == 11)
            all.insert(all.end(), x.records.begin(), x.records.end());
          hear(who, AppendHistoryReply{x.history, x.term, true, false, x.from + x.records.size()});
        }
      }
    }
    return all;
  }
};

inline ReserveTurn turn(const std::string& attempt, const std::string& parent = "", uint64_t budget = 1000) {
  return {attempt, "p", parent, "in:" + attempt + ";", budget, 100, true, 60000, 4000};
}

}  // namespace mosskeel::test
