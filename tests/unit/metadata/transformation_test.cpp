// Conformance of the metadata value and its transformations with the design: what each changes, and what is rejected.
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

/// A front with another incarnation at the address of "front21".
Candidate restarted_front21() {
  return {Incarnation{99}, Role::front, "a", "front21", "", "", ""};
}

std::vector<Candidate> three_controllers() {
  return {numbered_daemon(1, Role::controller, "a"), numbered_daemon(2, Role::controller, "b"),
          numbered_daemon(3, Role::controller, "c")};
}

/// Three controllers, stores 11 to 13 and gateways 21 and 22, all joined; a daemon of each role in zones a and b, all
/// but a gateway in c.
struct Fleet : MetadataFixture {
  Fleet() {
    commit(FoundCluster{7, 3, three_controllers(), 0, 0});
    commit(Register{numbered_daemon(11, Role::store, "a")});
    commit(Register{numbered_daemon(12, Role::store, "b")});
    commit(Register{numbered_daemon(13, Role::store, "c")});
    for (auto* store : {"store11", "store12", "store13"})
      join(store);
    register_and_join(numbered_daemon(21, Role::front, "a"));
    register_and_join(numbered_daemon(22, Role::front, "b"));
  }

  /// The errors of a transformation, which must be rejected and change nothing.
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

  /// In how many zones the stores of a partition are.
  size_t zone_count(const Partition& partition) const {
    std::set<std::string> zones;
    for (auto store : partition.stores)
      zones.insert(metadata.find(store)->self.zone);
    return zones.size();
  }
};

}  // namespace

TEST_CASE("Register gives a front that restarts at its address the partitions it owned, under a new term") {
  Fleet fleet;
  auto old_id = fleet.id("front21");
  auto before = fleet.metadata.partitions;

  fleet.commit(Register{restarted_front21()});

  auto new_id = fleet.id("front21");
  REQUIRE(new_id != old_id);
  size_t taken_over = 0;
  for (size_t i = 0; i < fleet.metadata.partitions.size(); ++i) {
    auto& partition = fleet.metadata.partitions[i];
    CHECK(partition.owner != old_id);
    if (before[i].owner != old_id) {
      CHECK(partition == before[i]);
      continue;
    }
    ++taken_over;
    CHECK(partition.owner == new_id);
    CHECK(partition.term == fleet.metadata.epoch);
  }
  CHECK(taken_over > 0);
  fleet.commit(PrepareJoin{new_id});
  CHECK(fleet.metadata.sequences.at(new_id).moves.size() <= 1);
}

TEST_CASE("apply takes only the strictly next epoch, and each change raises the epoch by one") {
  Fleet fleet;
  auto epoch = fleet.metadata.epoch;

  fleet.commit(EvacuateZone{"a"});

  CHECK(fleet.metadata.epoch == next(epoch));
  for (uint64_t other : {epoch.value(), epoch.value() + 1, epoch.value() + 3, uint64_t{0}})
    CHECK_FALSE(apply(fleet.metadata, {Epoch{other}, "", RestoreZone{"a"}}).ok());
}

TEST_CASE("A change of the quorum members needs majorities of the old and the new set until it is finished") {
  Fleet fleet;
  auto is_controller = [](const Daemon& daemon) {
    return daemon.self.role == Role::controller;
  };
  auto is_no_controller = [&](const Daemon& daemon) {
    return !is_controller(daemon);
  };
  auto is_no_front = [](const Daemon& daemon) {
    return daemon.self.role != Role::front;
  };
  CHECK(fleet.metadata.quorum_members.size() == 3);
  CHECK(fleet.metadata.has_quorum(is_controller));

  fleet.commit(BeginQuorumChange{});

  CHECK(fleet.metadata.incoming_quorum_members.size() == 8);
  CHECK_FALSE(fleet.metadata.has_quorum(is_controller));
  CHECK(fleet.metadata.has_quorum(is_no_front));
  CHECK_FALSE(fleet.metadata.has_quorum(is_no_controller));
  CHECK(fleet.is_rejected_with(BeginQuorumChange{}, "is not over"));

  fleet.commit(FinishQuorumChange{fleet.metadata.quorum_change_epoch});

  CHECK(fleet.metadata.quorum_members.size() == 8);
  fleet.commit(MarkDown{fleet.id("front21")});
  CHECK(fleet.is_rejected_with(BeginQuorumChange{}, "nobody came or left"));

  auto old_id = fleet.id("front21");
  fleet.commit(Register{restarted_front21()});

  auto new_id = fleet.id("front21");
  auto& members = fleet.metadata.quorum_members;
  CHECK(std::count(members.begin(), members.end(), old_id) == 0);
  CHECK(std::count(members.begin(), members.end(), new_id) == 1);
}

TEST_CASE("Transformations are pure: the same input gives the same bytes") {
  Fleet one, other;
  std::vector<Transformation> changes{EvacuateZone{"a"}, RestoreZone{"a"}, MarkDown{one.id("front21")}};

  for (auto& change : changes) {
    one.commit(change);
    other.commit(change);
    CHECK(codec::encode(one.metadata) == codec::encode(other.metadata));
  }
}

TEST_CASE("A join locks its partitions and runs start, mid and finish only in this order") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(23, Role::front, "c")});
  auto node = fleet.id("front23");

  fleet.commit(PrepareJoin{node});

  CHECK(fleet.metadata.locks.size() == fleet.metadata.sequences.at(node).moves.size());
  CHECK(fleet.metadata.locks.size() >= kPartitionCount / 3 - 1);
  CHECK(fleet.rejection(AdvanceSequence{node, SequenceStep::mid}) ==
        "daemon " + std::to_string(node.value()) + ": its next step is start, not mid");
  CHECK(fleet.is_rejected_with(PrepareJoin{node}, "has a sequence in progress"));
  fleet.commit(AdvanceSequence{node, SequenceStep::start});
  fleet.rejection(AdvanceSequence{node, SequenceStep::start});
  fleet.commit(AdvanceSequence{node, SequenceStep::mid});
  for (auto& partition : fleet.metadata.partitions)
    CHECK(partition.owner != node);

  fleet.commit(AdvanceSequence{node, SequenceStep::finish});

  CHECK(fleet.metadata.locks.empty());
  CHECK(fleet.metadata.sequences.empty());
  auto owned_in_new_term = [&](const Partition& partition) {
    return partition.owner == node && partition.term == fleet.metadata.epoch;
  };
  CHECK(std::count_if(fleet.metadata.partitions.begin(), fleet.metadata.partitions.end(), owned_in_new_term) >=
        kPartitionCount / 3 - 1);
}

TEST_CASE("A sequence whose partitions overlap locked ones is rejected") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(23, Role::front, "c")});
  auto joining = fleet.id("front23");
  auto other = fleet.id("front21");

  fleet.commit(PrepareJoin{joining});

  CHECK(fleet.is_rejected_with(PrepareDrain{other},
                               "is locked by the sequence of daemon " + std::to_string(joining.value())));
  CHECK(fleet.is_rejected_with(MoveAllPartitions{other, fleet.id("front22")}, "is locked by"));
  fleet.commit(CancelSequence{joining, "test"});
  fleet.commit(PrepareDrain{other});
}

TEST_CASE("Stores of a moving partition are pending from start on, and a cancelled sequence gives back the old ones") {
  Fleet fleet;
  fleet.commit(Register{numbered_daemon(14, Role::store, "a")});
  auto node = fleet.id("store14");
  auto before = fleet.metadata.partitions;
  fleet.commit(PrepareJoin{node});

  fleet.commit(AdvanceSequence{node, SequenceStep::start});

  auto moving = std::count_if(fleet.metadata.partitions.begin(), fleet.metadata.partitions.end(),
                              [](const Partition& partition) { return !partition.pending_stores.empty(); });
  CHECK(moving == static_cast<long>(fleet.metadata.sequences.at(node).moves.size()));

  fleet.commit(CancelSequence{node, "test"});

  for (size_t i = 0; i < before.size(); ++i) {
    CHECK(fleet.metadata.partitions[i].pending_stores.empty());
    CHECK(fleet.metadata.partitions[i].stores == before[i].stores);
  }
}

TEST_CASE("Misuse is rejected with its reason and changes nothing") {
  Fleet fleet;
  struct Row {
    Transformation change;
    const char* reason;
  };
  auto store = fleet.id("store11");
  auto front = fleet.id("front21");
  auto controller = fleet.id("controller1");
  const Row rows[] = {
      {PrepareDrain{store}, "would leave 2 of 3 copies"},
      {ReplaceCoreMember{controller, front}, "is not a spare controller"},
      {AddCoreMember{front}, "is not a registered controller"},
      {AddCoreMember{controller}, "is a core member already"},
      {PrepareDrain{controller}, "is no front worker or store"},
      {MarkDown{DaemonId{99}}, "is unknown"},
      {MarkUp{front}, "is not down"},
      {AdvanceSequence{front, SequenceStep::start}, "has no sequence in progress"},
      {CancelSequence{front, ""}, "has no sequence in progress"},
      {EvacuateZone{"q"}, "is unknown"},
      {RestoreZone{"a"}, "is not evacuated"},
      {MovePartition{PartitionId{1}, store}, "is no front worker"},
      {MoveAllPartitions{front, front}, "is the same node"},
      {RemoveReplica{"m"}, "is no replica"},
      {SetReplica{{"m", "modal", "a", "ftp://x", ReplicaHealth::ready, {}, 0, "", 0}},
       "kind: is neither model nor app; url: does not begin with http://"},
      {SetReplica{{"m", "model", "a", "http://x", ReplicaHealth::ready, {}, 5000, "", 0}},
       "places: must be from 1 to 4096"},
      {FinishQuorumChange{Epoch{3}}, "none of epoch 3 is under way"},
      {ApplyConfiguration{Revision{3}, {}, {}}, "built on 3, in force is 0"},
      {FoundCluster{8, 3, {}, 0, 0}, "is founded already"},
      {Register{numbered_daemon(21, Role::front, "a")}, "is registered already"},
  };

  for (auto& row : rows) {
    INFO(describe(row.change));
    CHECK(fleet.is_rejected_with(row.change, row.reason));
  }
}

TEST_CASE("Register rejects a store at the address of one that may still run") {
  Fleet fleet;
  auto newcomer = numbered_daemon(31, Role::store, "a");
  newcomer.address = "store11";

  CHECK(fleet.is_rejected_with(Register{newcomer}, "not known to be down"));
}

TEST_CASE("ReplaceCoreMember swaps only a member that is down") {
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

TEST_CASE("A front that goes down loses its partitions to the others, and joins anew when it is back") {
  Fleet fleet;
  auto front = fleet.id("front21");

  fleet.commit(MarkDown{front});

  for (auto& partition : fleet.metadata.partitions)
    CHECK(partition.owner == fleet.id("front22"));
  fleet.commit(MarkUp{front});
  CHECK(fleet.state(front) == DaemonState::registered);
  fleet.join("front21");
  CHECK(placement::partitions_per_gateway(fleet.metadata).at(front) == kPartitionCount / 2);
}

TEST_CASE("A drained front stays in the directory while its turns end, and leaves once it is silent") {
  Fleet fleet;
  auto front = fleet.id("front21");

  fleet.commit(PrepareDrain{front});
  fleet.finish_sequence(front);

  CHECK(fleet.state(front) == DaemonState::draining);
  fleet.commit(MarkDown{front});
  CHECK(fleet.state(front) == DaemonState::left);
}

TEST_CASE("Histories are spread over as many zones as there are") {
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

TEST_CASE("The log remembers commit ids, so that a retry finds its first outcome") {
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

/// All majorities of a set, each as a bit mask of its members' numbers.
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

/// Whether each majority of one set shares a member with each majority of the other, by trying all of them.
bool majorities_meet(const std::vector<DaemonId>& one, const std::vector<DaemonId>& other) {
  for (auto left : majorities_of(one))
    for (auto right : majorities_of(other))
      if ((left & right) == 0)
        return false;
  return true;
}

}  // namespace

TEST_CASE("Two replacements in a row: the majorities of each epoch and the next one meet") {
  Fleet fleet;
  auto commit_and_check_majorities = [&](const Transformation& change) {
    auto before = fleet.metadata.members;
    fleet.commit(change);
    INFO(describe(change));
    CHECK(majorities_meet(before, fleet.metadata.members));
  };

  for (uint64_t number : {1, 2}) {
    auto old_member = fleet.id("controller" + std::to_string(number));
    fleet.commit(Register{numbered_daemon(number + 3, Role::controller, "a")});
    auto new_member = fleet.id("controller" + std::to_string(number + 3));
    CHECK(fleet.is_rejected_with(AddCoreMember{new_member}, "full number"));
    commit_and_check_majorities(MarkDown{old_member});
    commit_and_check_majorities(AddCoreMember{new_member});
    CHECK(fleet.metadata.members.size() == 4);
    CHECK(fleet.is_rejected_with(RemoveCoreMember{new_member}, "is a live member"));
    commit_and_check_majorities(RemoveCoreMember{old_member});
    CHECK(fleet.metadata.members.size() == 3);
    CHECK(fleet.metadata.core_size == 3);
    CHECK(fleet.state(old_member) == DaemonState::left);
  }

  auto first = fleet.metadata.members[0];
  CHECK(fleet.is_rejected_with(RemoveCoreMember{first}, "is a live member"));
  commit_and_check_majorities(MarkDown{first});
  CHECK(fleet.is_rejected_with(RemoveCoreMember{first}, "too small"));
}

TEST_CASE("No addition or removal that the log takes parts the majorities of the two cores") {
  uint64_t state = 7;
  auto random_below = [&](size_t bound) {
    state = digest("roll", state);
    return state % bound;
  };
  Fleet fleet;
  fleet.metadata.max_core_size = 7;
  uint64_t next_controller = 4;
  auto random_change = [&]() -> Transformation {
    auto& members = fleet.metadata.members;
    auto member = members[random_below(members.size())];
    auto spare = members.front();
    for (auto& [id, daemon] : fleet.metadata.directory)
      if (daemon.self.role == Role::controller && !fleet.metadata.is_core_member(daemon.self.incarnation))
        spare = id;
    switch (random_below(6)) {
      case 0:
        return Register{numbered_daemon(next_controller++, Role::controller, "b")};
      case 1:
        return MarkDown{member};
      case 2:
        return MarkUp{member};
      case 3:
        return RemoveCoreMember{member};
      default:
        return AddCoreMember{spare};
    }
  };

  size_t changes = 0;
  for (int i = 0; i < 300; ++i) {
    auto before = fleet.metadata.members;
    std::ignore = fleet.try_commit(random_change());
    if (before == fleet.metadata.members)
      continue;
    ++changes;
    CHECK(majorities_meet(before, fleet.metadata.members));
  }
  CHECK(changes > 30);
}

TEST_CASE("A controller that starts at a member's address replaces it, and one taken out may come back") {
  Fleet fleet;
  auto old_member = fleet.id("controller1");
  auto original = numbered_daemon(1, Role::controller, "a");
  CHECK(fleet.is_rejected_with(Register{original}, "is registered already"));
  auto replacement = original;
  replacement.incarnation = Incarnation{91};

  fleet.commit(Register{replacement});

  CHECK(fleet.state(old_member) == DaemonState::down);
  fleet.commit(AddCoreMember{fleet.id("controller1")});
  fleet.commit(RemoveCoreMember{old_member});
  CHECK(fleet.is_rejected_with(Register{original}, "belongs to"));

  fleet.commit(MarkDown{fleet.metadata.find(replacement.incarnation)->id});
  fleet.commit(Register{original});

  CHECK(fleet.state(old_member) == DaemonState::up);
  CHECK_FALSE(fleet.metadata.is_core_member(original.incarnation));
}

TEST_CASE("An applied configuration is found after all other commits of its time are forgotten") {
  Fleet fleet;
  REQUIRE(fleet.try_commit(ApplyConfiguration{fleet.metadata.revision, {}, {}}, "first").ok());
  auto epoch = fleet.metadata.epoch;
  auto store = fleet.id("store11");

  for (size_t i = 0; i <= kRememberedCommits; ++i) {
    std::ignore = fleet.try_commit(MarkDown{store}, "m" + std::to_string(i));
    std::ignore = fleet.try_commit(MarkUp{store}, "u" + std::to_string(i));
  }

  CHECK(fleet.metadata.applied_commits.front().id != "first");
  CHECK(fleet.metadata.epoch_of_commit("first") == epoch);
  CHECK_FALSE(fleet.metadata.epoch_of_commit("rival"));
}

TEST_CASE("A configuration on a revision older than all that are remembered is rejected as forgotten") {
  Fleet fleet;
  auto on_revision = [](uint64_t base) {
    return ApplyConfiguration{Revision{base}, {}, {}};
  };
  for (uint64_t revision = 0; revision < kRememberedConfigurationChanges; ++revision)
    REQUIRE(fleet.try_commit(on_revision(revision), "o" + std::to_string(revision)).ok());
  CHECK(fleet.metadata.epoch_of_commit("o0"));
  CHECK(rejection_reason(fleet.metadata, on_revision(0)) == Rejection::revision_conflict);

  REQUIRE(fleet.try_commit(on_revision(kRememberedConfigurationChanges), "last").ok());

  CHECK(fleet.metadata.applied_configurations.size() == kRememberedConfigurationChanges);
  CHECK(rejection_reason(fleet.metadata, on_revision(0)) == Rejection::forgotten);
  CHECK(rejection_reason(fleet.metadata, on_revision(1)) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, on_revision(kRememberedConfigurationChanges + 9)) ==
        Rejection::revision_conflict);
}

TEST_CASE("rejection_reason tells why a change is rejected") {
  Fleet fleet;
  auto configuration = [](uint64_t base, uint64_t revision) {
    return ApplyConfiguration{Revision{base}, {}, Revision{revision}};
  };
  REQUIRE(fleet.try_commit(ApplyConfiguration{fleet.metadata.revision, {}, Revision{7}}, "first").ok());

  CHECK(rejection_reason(fleet.metadata, configuration(7, 7)) == Rejection::invalid);
  CHECK(rejection_reason(fleet.metadata, configuration(5, 8)) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, configuration(9, 10)) == Rejection::revision_conflict);
  CHECK(rejection_reason(fleet.metadata, EvacuateZone{"nowhere"}) == Rejection::unknown_target);
  CHECK(rejection_reason(fleet.metadata, RestoreZone{"a"}) == Rejection::already_in_effect);
  fleet.commit(EvacuateZone{"a"});
  CHECK(rejection_reason(fleet.metadata, EvacuateZone{"a"}) == Rejection::already_in_effect);
  CHECK(rejection_reason(fleet.metadata, PrepareDrain{DaemonId{999}}) == Rejection::unknown_target);
}
