// A controller that restarts with an old log neither becomes supervisor nor decides anything before it has caught up.
#include "base/codec.hpp"
#include "consensus/controller_machine.hpp"
#include "messages/constants.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"
#include "unit/consensus/controllers_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr TimePoint kStart = kProcessClockStart;
constexpr Duration kSeveralLeases = 10000ms;
constexpr uint64_t kCluster = 7;
/// The id of another cluster that is not a successor of `kCluster`.
constexpr uint64_t kEarlierCluster = 6;

std::unique_ptr<ControllerMachine> start_controller_1(const ControllerCheckpoint& checkpoint,
                                                      std::vector<std::string> journal = {}) {
  Recovered recovered{Incarnation{1}, codec::encode(checkpoint), std::move(journal)};
  return std::make_unique<ControllerMachine>(Identity{controller(1), {}}, recovered, kStart);
}

/// Controller 1 of three, restarted with a log that lacks entries that the other two have.
struct RestartedController {
  Metadata old_metadata{};
  Metadata newest_metadata{};
  std::vector<Entry> missing_entries;
  std::unique_ptr<ControllerMachine> machine;
  TimePoint now = kStart;

  RestartedController() {
    apply_entry(old_metadata, {Epoch{1}, "", FoundCluster{kCluster, 3, three_controllers()}});
    newest_metadata = old_metadata;
    for (uint64_t number = 11; number <= 13; ++number) {
      DaemonInfo store{Incarnation{number}, Role::store, "zone", "store" + std::to_string(number), "", "", ""};
      missing_entries.push_back({next(newest_metadata.epoch), "", Register{store}});
      apply_entry(newest_metadata, missing_entries.back());
    }
    ControllerCheckpoint checkpoint{};
    checkpoint.metadata = old_metadata;
    machine = start_controller_1(checkpoint);
  }

  static void apply_entry(Metadata& metadata, const Entry& entry) {
    auto result = apply(metadata, entry);
    REQUIRE(result.ok());
    metadata = result.value();
  }

  /// The machine's actions on a message from controller `sender`, which knows `epoch`.
  Actions receive(uint64_t sender, Epoch epoch, Message body) {
    Envelope envelope{};
    envelope.protocol = kProtocolRevision;
    envelope.cluster = kCluster;
    envelope.epoch = epoch;
    envelope.id = 1;
    envelope.from = "controller" + std::to_string(sender);
    envelope.from_incarnation = Incarnation{sender};
    envelope.to = "controller1";
    envelope.to_incarnation = Incarnation{1};
    envelope.body = std::move(body);
    return machine->step(envelope, now);
  }

  /// Advances time. The other controllers grant each requested lease with messages of epoch `epoch`, and send nothing
  /// else.
  bool becomes_supervisor_with_grants_at(Epoch epoch) {
    for (TimePoint end = now + kSeveralLeases; now < end; now += kTickInterval) {
      grant_leases(machine->tick(now), epoch);
      if (machine->is_supervisor(now))
        return true;
    }
    return false;
  }

 private:
  void grant_leases(const Actions& actions, Epoch epoch) {
    for (const Envelope& envelope : actions.now) {
      const auto* request = std::get_if<LeaseRequest>(&envelope.body);
      if (!request)
        continue;
      uint64_t member = envelope.to_incarnation.value();
      Epoch stamp = member == 1 ? machine->view()->epoch : epoch;
      receive(member, stamp, LeaseGrant{request->request_id, true, {}});
    }
  }
};

/// The first message of a type; null if there is none.
template <class MessageKind>
const MessageKind* find_message(const std::vector<Envelope>& envelopes) {
  for (const Envelope& envelope : envelopes)
    if (const auto* message = std::get_if<MessageKind>(&envelope.body))
      return message;
  return nullptr;
}

}  // namespace

TEST_CASE("SupervisorLease is not held with an old log until the controller has caught up, despite grants") {
  RestartedController controller;

  CHECK_FALSE(controller.becomes_supervisor_with_grants_at(controller.newest_metadata.epoch));

  Epoch newest = controller.newest_metadata.epoch;
  controller.receive(2, newest, CatchupReply{newest, std::nullopt, controller.missing_entries});
  REQUIRE(controller.machine->view()->epoch == newest);

  CHECK(controller.becomes_supervisor_with_grants_at(newest));
}

TEST_CASE("Proposer with an old log performs a quorum read before it rejects a commit") {
  RestartedController controller;
  Epoch old_epoch = controller.old_metadata.epoch;
  Epoch newest = controller.newest_metadata.epoch;
  // This daemon is unknown in the old log and registered in the newest one.
  DaemonId store{4};
  REQUIRE(controller.newest_metadata.find(store) != nullptr);

  Actions actions = controller.receive(2, old_epoch, Commit{"change", MarkDown{store}, {}, 0});
  CHECK(find_message<CommitReply>(actions.synced) == nullptr);

  const QuorumRead* read = find_message<QuorumRead>(actions.now);
  REQUIRE(read != nullptr);
  uint64_t read_id = read->id;

  controller.receive(1, old_epoch, QuorumReadReply{read_id, old_epoch, false});
  actions = controller.receive(2, newest, QuorumReadReply{read_id, newest, false});

  CHECK(find_message<CommitReply>(actions.synced) == nullptr);

  actions = controller.receive(2, newest, CatchupReply{newest, std::nullopt, controller.missing_entries});
  CHECK(find_message<CommitReply>(actions.synced) == nullptr);

  const Prepare* prepare = find_message<Prepare>(actions.now);
  REQUIRE(prepare != nullptr);

  CHECK(prepare->epoch == next(newest));
}

TEST_CASE("ControllerMachine with an old log sends no older snapshot in reply to a catch-up request") {
  RestartedController controller;
  const Metadata& newest = controller.newest_metadata;

  Actions actions = controller.receive(2, newest.epoch, Catchup{newest.epoch});
  const CatchupReply* reply = find_message<CatchupReply>(actions.now);
  REQUIRE(reply != nullptr);

  CHECK_FALSE(reply->checkpoint);
  CHECK(reply->entries.empty());
}

TEST_CASE("MetadataLog neither installs an older snapshot nor adds an entry that it already has") {
  RestartedController controller;
  const Metadata& newest = controller.newest_metadata;
  MetadataLog log;
  REQUIRE(log.install_snapshot(newest));

  CHECK_FALSE(log.install_snapshot(controller.old_metadata));
  CHECK(log.add(controller.missing_entries.front()).empty());
  CHECK(*log.view() == newest);
}

TEST_CASE("ControllerMachine installs no snapshot of an earlier generation") {
  RestartedController controller;
  Metadata earlier_generation = controller.newest_metadata;
  earlier_generation.cluster = kEarlierCluster;
  earlier_generation.epoch = Epoch{100};

  controller.receive(2, controller.old_metadata.epoch, CatchupReply{earlier_generation.epoch, earlier_generation, {}});

  CHECK(controller.machine->view()->cluster == kCluster);
  CHECK(controller.machine->view()->epoch == controller.old_metadata.epoch);
}

TEST_CASE("ControllerMachine installs a snapshot of a later generation") {
  RestartedController controller;
  Metadata later_generation = controller.newest_metadata;
  later_generation.cluster = next_cluster_id(kCluster, later_generation.generation);
  ++later_generation.generation;

  controller.receive(2, controller.old_metadata.epoch, CatchupReply{later_generation.epoch, later_generation, {}});

  CHECK(*controller.machine->view() == later_generation);
}

TEST_CASE("ControllerMachine recovers the state before or after a snapshot that was being synced, never a mixture") {
  RestartedController controller;
  const Metadata& newest = controller.newest_metadata;
  Actions actions = controller.receive(2, newest.epoch, CatchupReply{newest.epoch, newest, {}});
  REQUIRE_FALSE(actions.journal.empty());
  ControllerCheckpoint checkpoint{};
  checkpoint.metadata = controller.old_metadata;
  checkpoint.open = next(controller.old_metadata.epoch);
  checkpoint.promised = {9, 9};
  checkpoint.accepted = AcceptedProposal{{9, 9}, {checkpoint.open, "open", Register{test::controller(4)}}};

  auto before_sync = start_controller_1(checkpoint);
  auto after_sync = start_controller_1(checkpoint, actions.journal);

  CHECK(*before_sync->view() == controller.old_metadata);
  CHECK(*after_sync->view() == newest);

  // The snapshot closes the instance that was open at the old epoch and discards its promise and accepted proposal.
  auto kept = codec::decode<ControllerCheckpoint>(after_sync->checkpoint());
  REQUIRE(kept);

  CHECK(kept->open == next(newest.epoch));
  CHECK_FALSE(kept->accepted);
  CHECK(kept->promised == Ballot{});
}
