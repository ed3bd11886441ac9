// The metadata transformations: what each one changes and what is rejected.
#include "metadata/transformation.hpp"
#include "unit/catch.hpp"

#include <algorithm>

#include "base/codec.hpp"
#include "metadata/constants.hpp"
#include "metadata/rejection.hpp"
#include "unit/metadata/metadata_fixture.hpp"

using namespace mosskeel;
using mosskeel::test::MetadataFixture;
using mosskeel::test::numbered_daemon;

namespace {

/// A gateway with another incarnation at the address of "front21".
DaemonInfo restarted_gateway21() {
  return {Incarnation{99}, Role::gateway, "a", "front21", "", "", ""};
}

std::vector<DaemonInfo> three_controllers() {
  return {numbered_daemon(1, Role::controller, "a"), numbered_daemon(2, Role::controller, "b"),
          numbered_daemon(3, Role::controller, "c")};
}

/// Three controllers, stores 11 to 13 and gateways 21 and 22, all joined. Zones a and b have a daemon of each role,
/// zone c has no gateway.
struct Fleet : MetadataFixture {
  Fleet() {
    commit(FoundCluster{7, 3, three_controllers(), 0, 0});
    commit(Register{numbered_daemon(11, Role::store, "a")});
    commit(Register{numbered_daemon(12, Role::store, "b")});
    commit(Register{numbered_daemon(13, Role::store, "c")});
    for (auto* store : {"store11", "store12", "store13"})
      join(store);
    register_and_join(numbered_daemon(21, Role::gateway, "a"));
    register_and_join(numbered_daemon(22, Role::gateway, "b"));
  }

  /// The errors of a transformation, which must be rejected without changing the metadata.
  std::string rejection(const Transformation& change) {
    auto before = metadata;
    auto result = try_commit(change);
    REQUIRE_FALSE(result.ok());
    CHECK(metadata == before);
    return to_string(result.errors());
  }

  bool is_rejected_with(const Transformation& change, const std::string& reason) {
    return rejection(change).find(reason) != std::string::npos;
  }

  void join(const std::string& address) { run_sequence(PrepareJoin{id(address)}, id(address)); }

  /// The number of zones over which a partition's stores are spread.
  size_t zone_count(const Partition& partition) const {
    std::set<std::string> zones;
    for (auto store : partition.stores)
      zones.insert(metadata.find(store)->self.zone);
    return zones.size();
  }
};

}  // namespace

TEST_CASE("Register gives a gateway that restarts at its address the partitions it owned, under a new term") {
  Fleet fleet;
  auto old_id = fleet.id("front21");
  auto before = fleet.metadata.partitions;

  fleet.commit(Register{restarted_gateway21()});

  auto new_id = fleet.id("front21");
  REQUIRE(new_id != old_id);
  size_t inherited = 0;
  for (size_t i = 0; i < fleet.metadata.partitions.size(); ++i) {
    auto& partition = fleet.metadata.partitions[i];
    CHECK(partition.owner != old_id);
    if (before[i].owner != old_id) {
      CHECK(partition == before[i]);
      continue;
    }
    ++inherited;
    CHECK(partition.owner == new_id);
    CHECK(partition.term == fleet.metadata.epoch);
  }
  CHECK(inherited > 0);

  fleet.commit(PrepareJoin{new_id});
  CHECK(fleet.metadata.sequences.at(new_id).moves.size() <= 1);
}

TEST_CASE("apply accepts only the next epoch, and each change increments the epoch by one") {
  Fleet fleet;
  auto epoch = fleet.metadata.epoch;

  fleet.commit(EvacuateZone{"a"});

  CHECK(fleet.metadata.epoch == next(epoch));
  for (uint64_t other : {epoch.value(), epoch.value() + 1, epoch.value() + 3, uint64_t{0}})
    CHECK_FALSE(apply(fleet.metadata, {Epoch{other}, "", RestoreZone{"a"}}).ok());
}

namespace {

bool is_controller(const Daemon& daemon) {
  return daemon.self.role == Role::controller;
}

bool is_not_controller(const Daemon& daemon) {
  return !is_controller(daemon);
}

bool is_not_gateway(const Daemon& daemon) {
  return daemon.self.role != Role::gateway;
}

/// Number of daemons in the fleet: three controllers, three stores, two gateways.
constexpr size_t kFleetSize = 8;

/// Makes all daemons of the fleet quorum members.
void change_quorum(Fleet& fleet) {
  fleet.commit(BeginQuorumChange{});
  fleet.commit(FinishQuorumChange{fleet.metadata.quorum_change_epoch});
}

}  // namespace

TEST_CASE("A quorum change needs majorities of the old and the new set until it is finished") {
  Fleet fleet;
  CHECK(fleet.metadata.quorum_members.size() == 3);
  CHECK(fleet.metadata.has_quorum(is_controller));

  fleet.commit(BeginQuorumChange{});

  CHECK(fleet.metadata.incoming_quorum_members.size() == kFleetSize);
  CHECK_FALSE(fleet.metadata.has_quorum(is_controller));
  CHECK(fleet.metadata.has_quorum(is_not_gateway));
  CHECK_FALSE(fleet.metadata.has_quorum(is_not_controller));
  CHECK(fleet.is_rejected_with(BeginQuorumChange{}, "is not over"));

  fleet.commit(FinishQuorumChange{fleet.metadata.quorum_change_epoch});

  CHECK(fleet.metadata.quorum_members.size() == kFleetSize);
}

TEST_CASE("A daemon that is down stays a quorum member") {
  Fleet fleet;
  change_quorum(fleet);
  REQUIRE(fleet.metadata.quorum_members.size() == kFleetSize);

  fleet.commit(MarkDown{fleet.id("front21")});

  CHECK(fleet.is_rejected_with(BeginQuorumChange{}, "nobody came or left"));
}

TEST_CASE("A gateway that restarts at its address takes its predecessor's place among the quorum members") {
  Fleet fleet;
  change_quorum(fleet);
  auto old_id = fleet.id("front21");
  fleet.commit(MarkDown{old_id});

  fleet.commit(Register{restarted_gateway21()});

  auto new_id = fleet.id("front21");
  auto& members = fleet.metadata.quorum_members;
  CHECK(std::count(members.begin(), members.end(), old_id) == 0);
  CHECK(std::count(members.begin(), members.end(), new_id) == 1);
}

TEST_CASE("Transformations are pure: the same input gives the same bytes") {
  Fleet one;
  Fleet other;
  std::vector<Transformation> changes{EvacuateZone{"a"}, RestoreZone{"a"}, MarkDown{one.id("front21")}};

  for (auto& change : changes) {
    one.commit(change);
    other.commit(change);
    CHECK(codec::encode(one.metadata) == codec::encode(other.metadata));
  }
}

TEST_CASE("A join locks its partitions and runs start, mid and finish only in this order") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(23, Role::gateway, "c")});
  auto joining = fleet.id("front23");

  fleet.commit(PrepareJoin{joining});

  CHECK(fleet.metadata.locks.size() == fleet.metadata.sequences.at(joining).moves.size());
  CHECK(fleet.metadata.locks.size() >= kPartitionCount / 3 - 1);
  CHECK(fleet.rejection(AdvanceSequence{joining, SequenceStep::mid}) ==
        "daemon " + std::to_string(joining.value()) + ": its next step is start, not mid");
  CHECK(fleet.is_rejected_with(PrepareJoin{joining}, "has a sequence in progress"));

  fleet.commit(AdvanceSequence{joining, SequenceStep::start});

  fleet.rejection(AdvanceSequence{joining, SequenceStep::start});
}

TEST_CASE("A joining gateway owns its partitions, unlocked and under a new term, from the last step on") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(23, Role::gateway, "c")});
  auto joining = fleet.id("front23");
  fleet.commit(PrepareJoin{joining});
  fleet.commit(AdvanceSequence{joining, SequenceStep::start});
  fleet.commit(AdvanceSequence{joining, SequenceStep::mid});
  for (auto& partition : fleet.metadata.partitions)
    CHECK(partition.owner != joining);

  fleet.commit(AdvanceSequence{joining, SequenceStep::finish});

  CHECK(fleet.metadata.locks.empty());
  CHECK(fleet.metadata.sequences.empty());
  auto is_owned_in_new_term = [&](const Partition& partition) {
    return partition.owner == joining && partition.term == fleet.metadata.epoch;
  };
  auto& partitions = fleet.metadata.partitions;
  CHECK(std::count_if(partitions.begin(), partitions.end(), is_owned_in_new_term) >= kPartitionCount / 3 - 1);
}

TEST_CASE("A sequence whose partitions overlap locked ones is rejected until the locks are released") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(23, Role::gateway, "c")});
  auto joining = fleet.id("front23");
  auto other = fleet.id("front21");

  fleet.commit(PrepareJoin{joining});

  CHECK(fleet.is_rejected_with(PrepareDrain{other},
                               "is locked by the sequence of daemon " + std::to_string(joining.value())));
  CHECK(fleet.is_rejected_with(MoveAllPartitions{other, fleet.id("front22")}, "is locked by"));
  fleet.commit(CancelSequence{joining, "test"});
  fleet.commit(PrepareDrain{other});
}

TEST_CASE(
    "The first step of a sequence makes the new stores of its partitions pending, and cancelling it reverts that") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(14, Role::store, "a")});
  auto joining = fleet.id("store14");
  auto before = fleet.metadata.partitions;
  fleet.commit(PrepareJoin{joining});

  fleet.commit(AdvanceSequence{joining, SequenceStep::start});

  auto has_pending_stores = [](const Partition& partition) {
    return !partition.pending_stores.empty();
  };
  auto& partitions = fleet.metadata.partitions;
  auto moving = std::count_if(partitions.begin(), partitions.end(), has_pending_stores);
  CHECK(moving == static_cast<long>(fleet.metadata.sequences.at(joining).moves.size()));

  fleet.commit(CancelSequence{joining, "test"});

  for (size_t i = 0; i < before.size(); ++i) {
    CHECK(fleet.metadata.partitions[i].pending_stores.empty());
    CHECK(fleet.metadata.partitions[i].stores == before[i].stores);
  }
}

TEST_CASE("An invalid transformation is rejected with its reason and changes nothing") {
  Fleet fleet;
  struct Row {
    Transformation change;
    const char* reason;
  };
  auto store = fleet.id("store11");
  auto gateway = fleet.id("front21");
  auto controller = fleet.id("controller1");
  const Row rows[] = {
      {PrepareDrain{store}, "would leave 2 of 3 copies"},
      {ReplaceCoreMember{controller, gateway}, "is not a spare controller"},
      {AddCoreMember{gateway}, "is not a registered controller"},
      {AddCoreMember{controller}, "is a core member already"},
      {PrepareDrain{controller}, "is no gateway or store"},
      {MarkDown{DaemonId{99}}, "is unknown"},
      {MarkUp{gateway}, "is not down"},
      {AdvanceSequence{gateway, SequenceStep::start}, "has no sequence in progress"},
      {CancelSequence{gateway, ""}, "has no sequence in progress"},
      {EvacuateZone{"q"}, "is unknown"},
      {RestoreZone{"a"}, "is not evacuated"},
      {MovePartition{PartitionId{1}, store}, "is no gateway"},
      {MoveAllPartitions{gateway, gateway}, "is the same node"},
      {RemoveReplica{"m"}, "is no replica"},
      {SetReplica{{"m", "modal", "a", "ftp://x", ReplicaHealth::ready, {}, 0, "", 0}},
       "kind: is neither model nor app; url: does not begin with http://"},
      {SetReplica{{"m", "model", "a", "http://x", ReplicaHealth::ready, {}, 5000, "", 0}},
       "places: must be from 1 to 4096"},
      {FinishQuorumChange{Epoch{3}}, "none of epoch 3 is under way"},
      {ApplyConfiguration{Revision{3}, {}, {}}, "built on 3, in force is 0"},
      {FoundCluster{8, 3, {}, 0, 0}, "is founded already"},
      {Register{numbered_daemon(21, Role::gateway, "a")}, "is registered already"},
  };

  for (auto& row : rows) {
    INFO(describe(row.change));
    CHECK(fleet.is_rejected_with(row.change, row.reason));
  }
}

TEST_CASE("Register rejects a store at the address of one that may still run") {
  Fleet fleet;
  auto replacement = numbered_daemon(31, Role::store, "a");
  replacement.address = "store11";

  CHECK(fleet.is_rejected_with(Register{replacement}, "not known to be down"));
}

TEST_CASE("ReplaceCoreMember replaces only a member that is down") {
  Fleet fleet;
  auto member = fleet.id("controller1");
  fleet.commit(Register{numbered_daemon(4, Role::controller, "a")});
  auto spare = fleet.id("controller4");

  CHECK(fleet.is_rejected_with(ReplaceCoreMember{member, spare}, "is a live member"));
  fleet.commit(MarkDown{member});
  fleet.commit(ReplaceCoreMember{member, spare});

  CHECK(fleet.metadata.members.front() == spare);
}

TEST_CASE("Of two configurations on one revision only one is applied") {
  Fleet fleet;
  Cell cell{"news", 400, 40, 60000, {{"chat", "model", {}}}};
  Configuration configuration{{cell}, {}, {}, {}, ""};

  fleet.commit(ApplyConfiguration{Revision{0}, configuration, {}});

  CHECK(fleet.rejection(ApplyConfiguration{Revision{0}, configuration, {}}) == "revision: built on 0, in force is 1");
}

TEST_CASE("A rejected configuration reports all of its errors") {
  Fleet fleet;
  Cell cell{"news", 400, 40, 60000, {{"chat", "model", {}}}};
  Cell invalid{"", 0, 50, 10, {{"", "x", {}}, {"", "app", {}}}};
  Configuration configuration{{cell, cell, invalid}, {}, {}, {}, ""};

  auto errors = fleet.rejection(ApplyConfiguration{Revision{0}, configuration, {}});

  for (auto* error : {"cells[1].name: 'news' is there twice", "cells[2].name: must be",
                      "cells[2].budget: must be above", "cells[2].turn_limit: exceeds", "cells[2].retention_ms: must",
                      "cells[2].routes[0].kind: is neither", "cells[2].routes[1].name: '' is there twice"})
    CHECK(errors.find(error) != std::string::npos);
}

TEST_CASE("A gateway that goes down loses its partitions to the others, and joins again when it is back") {
  Fleet fleet;
  auto gateway = fleet.id("front21");

  fleet.commit(MarkDown{gateway});

  for (auto& partition : fleet.metadata.partitions)
    CHECK(partition.owner == fleet.id("front22"));

  fleet.commit(MarkUp{gateway});

  CHECK(fleet.state(gateway) == DaemonState::registered);
  fleet.join("front21");
  CHECK(placement::partitions_per_gateway(fleet.metadata).at(gateway) == kPartitionCount / 2);
}

TEST_CASE("A drained gateway stays in the directory while its turns end, and leaves once it is down") {
  Fleet fleet;
  auto gateway = fleet.id("front21");

  fleet.commit(PrepareDrain{gateway});
  fleet.finish_sequence(gateway);

  CHECK(fleet.state(gateway) == DaemonState::draining);

  fleet.commit(MarkDown{gateway});

  CHECK(fleet.state(gateway) == DaemonState::left);
}

TEST_CASE("Histories are spread over all zones") {
  Fleet fleet;
  for (auto& partition : fleet.metadata.partitions)
    CHECK(fleet.zone_count(partition) == 3);

  fleet.commit(Register{numbered_daemon(14, Role::store, "a")});
  fleet.join("store14");
  auto leaving = fleet.id("store11");
  fleet.commit(PrepareDrain{leaving});
  fleet.finish_sequence(leaving);

  for (auto& partition : fleet.metadata.partitions)
    CHECK(fleet.zone_count(partition) == 3);
}

TEST_CASE("The metadata remembers commit ids, so that a retry finds its first outcome") {
  Fleet fleet;
  REQUIRE(fleet.try_commit(EvacuateZone{"a"}, "once").ok());
  auto epoch = fleet.metadata.epoch;

  fleet.commit(RestoreZone{"a"});

  CHECK(fleet.metadata.epoch_of_commit("once") == epoch);
  CHECK_FALSE(fleet.metadata.epoch_of_commit("twice"));
}

namespace {

std::vector<uint64_t> sorted_numbers(const std::vector<DaemonId>& ids) {
  std::vector<uint64_t> numbers;
  for (auto id : ids)
    numbers.push_back(id.value());
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

/// All majorities of a set, each as a bit mask of its members' ids.
std::vector<uint64_t> majorities_of(const std::vector<DaemonId>& ids) {
  auto numbers = sorted_numbers(ids);
  std::vector<uint64_t> majorities;
  for (size_t subset = 0; subset < size_t{1} << numbers.size(); ++subset) {
    if (static_cast<size_t>(__builtin_popcountll(subset)) < majority_of(numbers.size()))
      continue;
    uint64_t mask = 0;
    for (size_t i = 0; i < numbers.size(); ++i)
      if (subset >> i & 1)
        mask |= uint64_t{1} << numbers[i] % 64;
    majorities.push_back(mask);
  }
  return majorities;
}

/// Whether every majority of one set intersects every majority of the other; tries all of them.
bool majorities_intersect(const std::vector<DaemonId>& one, const std::vector<DaemonId>& other) {
  for (auto left : majorities_of(one))
    for (auto right : majorities_of(other))
      if ((left & right) == 0)
        return false;
  return true;
}

/// Commits a change and checks that every majority of the core before it intersects every majority after it.
void commit_and_check_majorities(Fleet& fleet, const Transformation& change) {
  auto before = fleet.metadata.members;
  fleet.commit(change);
  INFO(describe(change));
  CHECK(majorities_intersect(before, fleet.metadata.members));
}

}  // namespace

TEST_CASE("Majorities of the core before and after each step of two replacements intersect") {
  Fleet fleet;
  for (uint64_t number : {1, 2}) {
    auto old_member = fleet.id("controller" + std::to_string(number));
    fleet.commit(Register{numbered_daemon(number + 3, Role::controller, "a")});
    auto new_member = fleet.id("controller" + std::to_string(number + 3));
    CHECK(fleet.is_rejected_with(AddCoreMember{new_member}, "full number"));

    commit_and_check_majorities(fleet, MarkDown{old_member});
    commit_and_check_majorities(fleet, AddCoreMember{new_member});

    CHECK(fleet.metadata.members.size() == 4);
    CHECK(fleet.is_rejected_with(RemoveCoreMember{new_member}, "is a live member"));

    commit_and_check_majorities(fleet, RemoveCoreMember{old_member});

    CHECK(fleet.metadata.members.size() == 3);
    CHECK(fleet.metadata.core_size == 3);
    CHECK(fleet.state(old_member) == DaemonState::left);
  }
}

TEST_CASE("A core of the minimum size keeps a member that is down until another one is added") {
  Fleet fleet;
  REQUIRE(fleet.metadata.members.size() == kMinCoreSize);
  auto first = fleet.metadata.members[0];
  CHECK(fleet.is_rejected_with(RemoveCoreMember{first}, "is a live member"));

  commit_and_check_majorities(fleet, MarkDown{first});

  CHECK(fleet.is_rejected_with(RemoveCoreMember{first}, "too small"));
}

namespace {

/// Pseudo-random changes of the core and its members, the same in each run.
class RandomCoreChanges {
 public:
  Transformation next(const Metadata& metadata) {
    auto member = metadata.members[random_below(metadata.members.size())];
    auto spare = spare_controller(metadata);
    switch (random_below(6)) {
      case 0:
        return Register{numbered_daemon(next_controller_++, Role::controller, "b")};
      case 1:
        return MarkDown{member};
      case 2:
        return MarkUp{member};
      case 3:
        return RemoveCoreMember{member};
      default:
        return AddCoreMember{spare};
    }
  }

 private:
  size_t random_below(size_t bound) {
    random_state_ = digest("roll", random_state_);
    return random_state_ % bound;
  }

  /// The last controller that is not a core member, or the first member if all controllers are members.
  static DaemonId spare_controller(const Metadata& metadata) {
    auto spare = metadata.members.front();
    for (auto& [id, daemon] : metadata.directory)
      if (is_controller(daemon) && !metadata.is_core_member(daemon.self.incarnation))
        spare = id;
    return spare;
  }

  uint64_t random_state_ = 7;
  uint64_t next_controller_ = 4;
};

}  // namespace

TEST_CASE("Majorities of the core before and after any committed change intersect") {
  constexpr int kAttempts = 300;
  constexpr size_t kMinChangesOfMembers = 30;
  Fleet fleet;
  fleet.metadata.max_core_size = 7;
  RandomCoreChanges random_changes;

  size_t changes_of_members = 0;
  for (int i = 0; i < kAttempts; ++i) {
    auto before = fleet.metadata.members;
    std::ignore = fleet.try_commit(random_changes.next(fleet.metadata));
    if (before == fleet.metadata.members)
      continue;
    ++changes_of_members;
    CHECK(majorities_intersect(before, fleet.metadata.members));
  }

  CHECK(changes_of_members > kMinChangesOfMembers);
}

TEST_CASE("A controller that starts at a member's address replaces it, and the replaced one may return as a spare") {
  Fleet fleet;
  auto old_member = fleet.id("controller1");
  auto original = numbered_daemon(1, Role::controller, "a");
  auto replacement = original;
  replacement.incarnation = Incarnation{91};
  CHECK(fleet.is_rejected_with(Register{original}, "is registered already"));

  fleet.commit(Register{replacement});

  CHECK(fleet.state(old_member) == DaemonState::down);

  auto new_member = fleet.id("controller1");
  fleet.commit(AddCoreMember{new_member});
  fleet.commit(RemoveCoreMember{old_member});

  CHECK(fleet.is_rejected_with(Register{original}, "belongs to"));

  fleet.commit(MarkDown{new_member});
  fleet.commit(Register{original});

  CHECK(fleet.state(old_member) == DaemonState::up);
  CHECK_FALSE(fleet.metadata.is_core_member(original.incarnation));
}

TEST_CASE("An applied configuration is still found after other commits of its time are forgotten") {
  Fleet fleet;
  REQUIRE(fleet.try_commit(ApplyConfiguration{fleet.metadata.revision, {}, {}}, "first").ok());
  auto epoch = fleet.metadata.epoch;
  auto store = fleet.id("store11");

  for (size_t i = 0; i <= kRememberedCommits; ++i) {
    std::ignore = fleet.try_commit(MarkDown{store}, "down " + std::to_string(i));
    std::ignore = fleet.try_commit(MarkUp{store}, "up " + std::to_string(i));
  }

  CHECK(fleet.metadata.applied_commits.front().id != "first");
  CHECK(fleet.metadata.epoch_of_commit("first") == epoch);
  CHECK_FALSE(fleet.metadata.epoch_of_commit("never committed"));
}

namespace {

ApplyConfiguration configuration_on(uint64_t base, Revision revision = {}) {
  return {Revision{base}, {}, revision};
}

}  // namespace

TEST_CASE("A configuration on a revision older than all remembered ones is rejected as forgotten") {
  Fleet fleet;
  for (uint64_t revision = 0; revision < kRememberedConfigurationChanges; ++revision)
    REQUIRE(fleet.try_commit(configuration_on(revision), "on " + std::to_string(revision)).ok());
  CHECK(fleet.metadata.epoch_of_commit("on 0"));
  CHECK(rejection_reason(fleet.metadata, configuration_on(0)) == Rejection::revision_conflict);

  REQUIRE(fleet.try_commit(configuration_on(kRememberedConfigurationChanges), "last").ok());

  CHECK(fleet.metadata.applied_configurations.size() == kRememberedConfigurationChanges);
  CHECK(rejection_reason(fleet.metadata, configuration_on(0)) == Rejection::forgotten);
  CHECK(rejection_reason(fleet.metadata, configuration_on(1)) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, configuration_on(kRememberedConfigurationChanges + 9)) ==
        Rejection::revision_conflict);
}

TEST_CASE("rejection_reason gives the reason of a rejected change") {
  Fleet fleet;
  REQUIRE(fleet.try_commit(ApplyConfiguration{fleet.metadata.revision, {}, Revision{7}}, "first").ok());

  CHECK(rejection_reason(fleet.metadata, configuration_on(7, Revision{7})) == Rejection::invalid);
  CHECK(rejection_reason(fleet.metadata, configuration_on(5, Revision{8})) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, configuration_on(9, Revision{10})) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, EvacuateZone{"nowhere"}) == Rejection::unknown_target);
  CHECK(rejection_reason(fleet.metadata, RestoreZone{"a"}) == Rejection::already_in_effect);
  fleet.commit(EvacuateZone{"a"});
  CHECK(rejection_reason(fleet.metadata, EvacuateZone{"a"}) == Rejection::already_in_effect);
  CHECK(rejection_reason(fleet.metadata, PrepareDrain{DaemonId{999}}) == Rejection::unknown_target);
}

// Guards against permanently refusing an evacuation (409) while the gateways of all other zones are being restarted.
TEST_CASE("An evacuation of the zone with the last gateways in service may be retried") {
  Fleet fleet;
  fleet.commit(EvacuateZone{"a"});

  CHECK_FALSE(fleet.try_commit(EvacuateZone{"b"}, "last").ok());
  CHECK(rejection_reason(fleet.metadata, EvacuateZone{"b"}) == Rejection::busy);
}
