// Conformance tables taken from the design page, on the metadata value and its transformations.
#include <catch2/catch.hpp>

#include <algorithm>

#include "base/codec.hpp"
#include "metadata/constants.hpp"
#include "metadata/rejection.hpp"

using namespace mosskeel;

namespace {

Candidate who(uint64_t n, Role r, const std::string& zone) {
  auto a = std::string(name(r)) + std::to_string(n);
  return {Incarnation{n}, r, zone, a, "", "http-" + a};
}

struct Fleet {
  Metadata m{};
  Result<Metadata> go(const Transformation& t, const std::string& id = "") {
    auto r = apply(m, {next(m.epoch), id, t});
    if (r.ok())
      m = r.value();
    return r;
  }
  void must(const Transformation& t) {
    auto r = go(t);
    INFO(describe(t) << (r.ok() ? "" : ": " + to_string(r.errors())));
    REQUIRE(r.ok());
  }
  std::string refused(const Transformation& t) {
    auto before = m;
    auto r = go(t);
    REQUIRE_FALSE(r.ok());
    CHECK(m == before);
    return to_string(r.errors());
  }
  DaemonId id(const std::string& address) { return m.find_at(address)->id; }
  void join(const std::string& address) {
    must(PrepareJoin{id(address)});
    for (auto s : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
      must(AdvanceSequence{id(address), s});
  }
  Fleet() {
    must(FoundCluster{
        7, 3, {who(1, Role::controller, "a"), who(2, Role::controller, "b"), who(3, Role::controller, "c")}});
    for (uint64_t n = 11; n <= 13; ++n)
      must(Register{who(n, Role::store, std::string(1, static_cast<char>('a' + n - 11)))});
    for (uint64_t n = 11; n <= 13; ++n)
      join("store" + std::to_string(n));
    for (uint64_t n = 21; n <= 22; ++n)
      must(Register{who(n, Role::front, n == 21 ? "a" : "b")}), join("front" + std::to_string(n));
  }
};

}  // namespace

TEST_CASE("a front that starts again at its address owns at once what it owned, under a new term") {
  Fleet f;
  auto old = f.id("front21");
  auto terms = f.m.partitions;
  f.must(Register{{Incarnation{99}, Role::front, "a", "front21", "", ""}});
  auto now = f.id("front21");
  REQUIRE(now != old);
  size_t n = 0;
  for (size_t i = 0; i < f.m.partitions.size(); ++i) {
    CHECK(f.m.partitions[i].owner != old);
    if (terms[i].owner != old) {
      CHECK(f.m.partitions[i] == terms[i]);
      continue;
    }
    ++n;
    CHECK(f.m.partitions[i].owner == now);
    CHECK(f.m.partitions[i].term == f.m.epoch);
  }
  CHECK(n > 0);
  f.must(PrepareJoin{now});
  CHECK(f.m.sequences.at(now).moves.size() <= 1);
}

TEST_CASE("each change raises the epoch by one, and only the strictly next epoch is taken") {
  Fleet f;
  auto e = f.m.epoch;
  f.must(EvacuateZone{"a"});
  CHECK(f.m.epoch == next(e));
  for (uint64_t at : {e.value(), e.value() + 1, e.value() + 3, uint64_t{0}})
    CHECK_FALSE(apply(f.m, {Epoch{at}, "", RestoreZone{"a"}}).ok());
}

TEST_CASE("who counts changes by two steps, and between them both sets must agree") {
  Fleet f;
  CHECK(f.m.quorum_members.size() == 3);
  auto core = [](const Daemon& d) {
    return d.self.role == Role::controller;
  };
  auto most = [](const Daemon& d) {
    return d.self.role != Role::front;
  };
  CHECK(f.m.has_quorum(core));
  f.must(BeginQuorumChange{});
  CHECK(f.m.incoming_quorum_members.size() == 8);
  CHECK_FALSE(f.m.has_quorum(core));
  CHECK(f.m.has_quorum(most));
  CHECK_FALSE(f.m.has_quorum([&](const Daemon& d) { return !core(d); }));
  CHECK(f.refused(BeginQuorumChange{}).find("is not over") != std::string::npos);
  auto since = f.m.quorum_change_epoch;
  f.must(FinishQuorumChange{since});
  CHECK(f.m.quorum_members.size() == 8);
  f.must(MarkDown{f.id("front21")});
  CHECK(f.refused(BeginQuorumChange{}).find("nobody came or left") != std::string::npos);
  auto old = f.id("front21");
  f.must(Register{{Incarnation{99}, Role::front, "a", "front21", "", ""}});
  auto fresh = f.id("front21");
  CHECK(std::count(f.m.quorum_members.begin(), f.m.quorum_members.end(), old) == 0);
  CHECK(std::count(f.m.quorum_members.begin(), f.m.quorum_members.end(), fresh) == 1);
}

TEST_CASE("transformations are pure: the same input gives the same bytes") {
  Fleet a, b;
  for (auto& t : std::vector<Transformation>{EvacuateZone{"a"}, RestoreZone{"a"}, MarkDown{a.id("front21")}}) {
    a.must(t);
    b.must(t);
    CHECK(codec::pack(a.m) == codec::pack(b.m));
  }
}

TEST_CASE("a join locks its places, then runs start, mid and finish in this order") {
  Fleet f;
  f.must(Register{who(23, Role::front, "c")});
  auto n = f.id("front23");
  f.must(PrepareJoin{n});
  CHECK(f.m.locks.size() == f.m.sequences.at(n).moves.size());
  CHECK(f.m.locks.size() >= kPartitionCount / 3 - 1);
  CHECK(f.refused(AdvanceSequence{n, SequenceStep::mid}) ==
        "daemon " + std::to_string(n.value()) + ": its next step is start, not mid");
  CHECK(f.refused(PrepareJoin{n}).find("has a sequence in progress") != std::string::npos);
  f.must(AdvanceSequence{n, SequenceStep::start});
  f.refused(AdvanceSequence{n, SequenceStep::start});
  f.must(AdvanceSequence{n, SequenceStep::mid});
  for (auto& s : f.m.partitions)
    CHECK(s.owner != n);
  f.must(AdvanceSequence{n, SequenceStep::finish});
  CHECK(f.m.locks.empty());
  CHECK(f.m.sequences.empty());
  CHECK(std::count_if(f.m.partitions.begin(), f.m.partitions.end(),
                      [&](auto& s) { return s.owner == n && s.term == f.m.epoch; }) >= kPartitionCount / 3 - 1);
}

TEST_CASE("a sequence whose places overlap locked ones is refused") {
  Fleet f;
  f.must(Register{who(23, Role::front, "c")});
  auto n = f.id("front23"), other = f.id("front21");
  f.must(PrepareJoin{n});
  CHECK(f.refused(PrepareDrain{other}).find("is locked by the sequence of daemon " + std::to_string(n.value())) !=
        std::string::npos);
  CHECK(f.refused(MoveAllPartitions{other, f.id("front22")}).find("is locked by") != std::string::npos);
  f.must(CancelSequence{n, "test"});
  f.must(PrepareDrain{other});
}

TEST_CASE("between start and finish a history's writes need both sets; cancel gives back the old one") {
  Fleet f;
  f.must(Register{who(14, Role::store, "a")});
  auto n = f.id("store14");
  auto before = f.m.partitions;
  f.must(PrepareJoin{n});
  f.must(AdvanceSequence{n, SequenceStep::start});
  auto moving =
      std::count_if(f.m.partitions.begin(), f.m.partitions.end(), [](auto& s) { return !s.pending_stores.empty(); });
  CHECK(moving == static_cast<long>(f.m.sequences.at(n).moves.size()));
  f.must(CancelSequence{n, "test"});
  for (size_t i = 0; i < before.size(); ++i) {
    CHECK(f.m.partitions[i].pending_stores.empty());
    CHECK(f.m.partitions[i].stores == before[i].stores);
  }
}

TEST_CASE("misuse is refused with its reason and changes nothing") {
  Fleet f;
  struct Row {
    Transformation t;
    const char* why;
  };
  auto store = f.id("store11"), front = f.id("front21"), core = f.id("controller1");
  const Row rows[] = {
      {PrepareDrain{store}, "would leave 2 of 3 copies"},
      {ReplaceCoreMember{core, front}, "is not a spare controller"},
      {AddCoreMember{front}, "is not a registered controller"},
      {AddCoreMember{core}, "is a core member already"},
      {PrepareDrain{core}, "is no front worker or store"},
      {MarkDown{DaemonId{99}}, "is unknown"},
      {MarkUp{front}, "is not down"},
      {AdvanceSequence{front, SequenceStep::start}, "has no sequence in progress"},
      {CancelSequence{front, ""}, "has no sequence in progress"},
      {EvacuateZone{"q"}, "is unknown"},
      {RestoreZone{"a"}, "is not evacuated"},
      {MovePartition{PartitionId{1}, store}, "is no front worker"},
      {MoveAllPartitions{front, front}, "is the same node"},
      {RemoveReplica{"m"}, "is no replica"},
      {SetReplica{{"m", "modal", "a", "ftp://x", ReplicaHealth::ready, {}, 0}},
       "kind: is neither model nor app; url: does not begin with http://"},
      {SetReplica{{"m", "model", "a", "http://x", ReplicaHealth::ready, {}, 5000}}, "places: must be from 1 to 4096"},
      {FinishQuorumChange{Epoch{3}}, "none of epoch 3 is under way"},
      {ApplyConfiguration{Revision{3}, {}}, "built on 3, in force is 0"},
      {FoundCluster{8, 3, {}}, "is founded already"},
      {Register{who(21, Role::front, "a")}, "is registered already"},
  };
  for (auto& r : rows) {
    INFO(describe(r.t));
    CHECK(f.refused(r.t).find(r.why) != std::string::npos);
  }
  auto fresh = who(31, Role::store, "a");
  fresh.address = "store11";
  CHECK(f.refused(Register{fresh}).find("not known to be down") != std::string::npos);
  f.must(Register{who(4, Role::controller, "a")});
  CHECK(f.refused(ReplaceCoreMember{core, f.id("controller4")}).find("is a live member") != std::string::npos);
  f.must(MarkDown{core});
  f.must(ReplaceCoreMember{core, f.id("controller4")});
  CHECK(f.m.members.front() == f.id("controller4"));
}

TEST_CASE("of two configurations on one revision only one is taken, with every finding") {
  Fleet f;
  Cell c{"news", 400, 40, 60000, {{"chat", "model", {}}}};
  f.must(ApplyConfiguration{Revision{0}, {{c}}});
  CHECK(f.refused(ApplyConfiguration{Revision{0}, {{c}}}) == "revision: built on 0, in force is 1");
  Cell bad{"", 0, 50, 10, {{"", "x", {}}, {"", "app", {}}}};
  auto why = f.refused(ApplyConfiguration{Revision{1}, {{c, c, bad}}});
  for (auto* s : {"cells[1].name: 'news' is there twice", "cells[2].name: must be", "cells[2].budget: must be above",
                  "cells[2].turn_limit: exceeds", "cells[2].retention_ms: must", "cells[2].routes[0].kind: is neither",
                  "cells[2].routes[1].name: '' is there twice"})
    CHECK(why.find(s) != std::string::npos);
}

TEST_CASE("a front that goes down loses its slots to the others under a later term") {
  Fleet f;
  auto n = f.id("front21");
  f.must(MarkDown{n});
  for (auto& s : f.m.partitions) {
    CHECK(s.owner == f.id("front22"));
  }
  f.must(MarkUp{n});
  CHECK(f.m.find(n)->state == DaemonState::registered);
  f.join("front21");
  CHECK(placement::partitions_per_front(f.m).at(n) == kPartitionCount / 2);
}

TEST_CASE("a drained front stays in the directory while its turns end, and leaves once it is silent") {
  Fleet f;
  auto n = f.id("front21");
  f.must(PrepareDrain{n});
  for (auto s : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
    f.must(AdvanceSequence{n, s});
  CHECK(f.m.find(n)->state == DaemonState::draining);
  f.must(MarkDown{n});
  CHECK(f.m.find(n)->state == DaemonState::left);
}

TEST_CASE("Histories are spread over as many zones as there are") {
  Fleet f;
  for (auto& s : f.m.partitions) {
    std::set<std::string> z;
    for (auto r : s.stores)
      z.insert(f.m.find(r)->self.zone);
    CHECK(z.size() == 3);
  }
  f.must(Register{who(14, Role::store, "a")});
  f.join("store14");
  f.must(PrepareDrain{f.id("store11")});
  for (auto s : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
    f.must(AdvanceSequence{f.id("store11"), s});
  for (auto& s : f.m.partitions) {
    std::set<std::string> z;
    for (auto r : s.stores)
      z.insert(f.m.find(r)->self.zone);
    CHECK(z.size() == 3);
  }
}

TEST_CASE("the log remembers commit ids, so that a retry finds its first outcome") {
  Fleet f;
  REQUIRE(f.go(EvacuateZone{"a"}, "once").ok());
  auto e = f.m.epoch;
  f.must(RestoreZone{"a"});
  CHECK(f.m.epoch_of_commit("once") == e);
  CHECK_FALSE(f.m.epoch_of_commit("twice"));
}

namespace {

std::vector<uint64_t> ids(const std::vector<DaemonId>& v) {
  std::vector<uint64_t> ids;
  for (auto id : v)
    ids.push_back(id.value());
  std::sort(ids.begin(), ids.end());
  return ids;
}

/// Whether each majority of one set shares a member with each majority of the other, by trying all of them.
bool majorities_meet(const std::vector<DaemonId>& a, const std::vector<DaemonId>& b) {
  auto one = ids(a), other = ids(b);
  auto mask_of = [&](const std::vector<uint64_t>& v, size_t chosen) {
    uint64_t mask = 0;
    for (size_t i = 0; i < v.size(); ++i)
      if (chosen >> i & 1)
        mask |= uint64_t{1} << v[i] % 64;
    return mask;
  };
  auto majorities = [&](const std::vector<uint64_t>& v) {
    std::vector<uint64_t> masks;
    for (size_t chosen = 0; chosen < size_t{1} << v.size(); ++chosen)
      if (static_cast<size_t>(__builtin_popcountll(chosen)) >= majority_of(v.size()))
        masks.push_back(mask_of(v, chosen));
    return masks;
  };
  for (auto p : majorities(one))
    for (auto q : majorities(other))
      if ((p & q) == 0)
        return false;
  return true;
}

}  // namespace

TEST_CASE("two replacements in a row: the majorities of each epoch and the next one meet") {
  Fleet f;
  auto step = [&](const Transformation& t) {
    auto before = f.m.members;
    f.must(t);
    INFO(describe(t));
    CHECK(majorities_meet(before, f.m.members));
  };
  for (uint64_t n : {1, 2}) {
    auto old = f.id("controller" + std::to_string(n));
    f.must(Register{who(n + 3, Role::controller, "a")});
    auto fresh = f.id("controller" + std::to_string(n + 3));
    CHECK(f.refused(AddCoreMember{fresh}).find("full number") != std::string::npos);
    step(MarkDown{old});
    step(AddCoreMember{fresh});
    CHECK(f.m.members.size() == 4);
    CHECK(f.refused(RemoveCoreMember{fresh}).find("is a live member") != std::string::npos);
    step(RemoveCoreMember{old});
    CHECK(f.m.members.size() == 3);
    CHECK(f.m.core_size == 3);
    CHECK(f.m.find(old)->state == DaemonState::left);
  }
  CHECK(f.refused(RemoveCoreMember{f.m.members[0]}).find("is a live member") != std::string::npos);
  step(MarkDown{f.m.members[0]});
  CHECK(f.refused(RemoveCoreMember{f.m.members[0]}).find("too small") != std::string::npos);
}

TEST_CASE("no admission or removal that the log takes parts the majorities of the two cores") {
  uint64_t dice = 7;
  auto roll = [&](size_t n) {
    return (dice = digest("roll", dice)) % n;
  };
  Fleet f;
  f.m.max_core_size = 7;
  uint64_t next_controller = 4;
  size_t changes = 0;
  for (int i = 0; i < 300; ++i) {
    auto before = f.m.members;
    auto one = f.m.members[roll(f.m.members.size())];
    auto spare = before.front();
    for (auto& [id, d] : f.m.directory)
      if (d.self.role == Role::controller && !f.m.is_core_member(d.self.incarnation))
        spare = id;
    switch (roll(6)) {
      case 0:
        f.go(Register{who(next_controller++, Role::controller, "b")});
        break;
      case 1:
        f.go(MarkDown{one});
        break;
      case 2:
        f.go(MarkUp{one});
        break;
      case 3:
        f.go(RemoveCoreMember{one});
        break;
      default:
        f.go(AddCoreMember{spare});
    }
    changes += before != f.m.members;
    if (before != f.m.members)
      CHECK(majorities_meet(before, f.m.members));
  }
  CHECK(changes > 30);
}

TEST_CASE("a controller that starts at a member's address replaces it, and one taken out may come back") {
  Fleet f;
  auto old = f.id("controller1");
  auto again = who(1, Role::controller, "a");
  CHECK(f.refused(Register{again}).find("is registered already") != std::string::npos);
  auto fresh = again;
  fresh.incarnation = Incarnation{91};
  f.must(Register{fresh});
  CHECK(f.m.find(old)->state == DaemonState::down);
  f.must(AddCoreMember{f.id("controller1")});
  f.must(RemoveCoreMember{old});
  CHECK(f.refused(Register{again}).find("belongs to") != std::string::npos);
  f.must(MarkDown{f.m.find(fresh.incarnation)->id});
  f.must(Register{again});
  CHECK(f.m.find(old)->state == DaemonState::up);
  CHECK_FALSE(f.m.is_core_member(again.incarnation));
}

TEST_CASE("a taken configuration is known again after the memory of all commits has rolled over") {
  Fleet f;
  REQUIRE(f.go(ApplyConfiguration{f.m.revision, {}, {}}, "first").ok());
  auto at = f.m.epoch;
  for (size_t i = 0; i <= kRememberedCommits; ++i)
    f.go(MarkDown{f.id("store11")}, "m" + std::to_string(i)), f.go(MarkUp{f.id("store11")}, "u" + std::to_string(i));
  CHECK(f.m.applied_commits.front().id != "first");
  CHECK(f.m.epoch_of_commit("first") == at);
  CHECK_FALSE(f.m.epoch_of_commit("rival"));
}

TEST_CASE("an order on a revision older than all that is remembered cannot be told from a taken one") {
  Fleet f;
  auto order = [](uint64_t base) {
    return ApplyConfiguration{Revision{base}, {}, {}};
  };
  for (uint64_t r = 0; r < kRememberedConfigurationChanges; ++r)
    REQUIRE(f.go(order(r), "o" + std::to_string(r)).ok());
  CHECK(f.m.epoch_of_commit("o0"));
  CHECK(rejection_reason(f.m, order(0)) == Rejection::revision_conflict);
  REQUIRE(f.go(order(kRememberedConfigurationChanges), "last").ok());
  CHECK(f.m.applied_configurations.size() == kRememberedConfigurationChanges);
  CHECK(rejection_reason(f.m, order(0)) == Rejection::forgotten);
  CHECK(rejection_reason(f.m, order(1)) == Rejection::revision_conflict);
  CHECK(rejection_reason(f.m, order(kRememberedConfigurationChanges + 9)) == Rejection::revision_conflict);
}

TEST_CASE("a rejection says which of its reasons it has") {
  Fleet f;
  REQUIRE(f.go(ApplyConfiguration{f.m.revision, {}, Revision{7}}, "first").ok());
  CHECK(rejection_reason(f.m, ApplyConfiguration{Revision{7}, {}, Revision{7}}) == Rejection::invalid);
  CHECK(rejection_reason(f.m, ApplyConfiguration{Revision{5}, {}, Revision{8}}) == Rejection::revision_conflict);
  CHECK(rejection_reason(f.m, ApplyConfiguration{Revision{9}, {}, Revision{10}}) == Rejection::revision_conflict);
  CHECK(rejection_reason(f.m, EvacuateZone{"nowhere"}) == Rejection::unknown_target);
  CHECK(rejection_reason(f.m, RestoreZone{"a"}) == Rejection::already_in_effect);
  f.must(EvacuateZone{"a"});
  CHECK(rejection_reason(f.m, EvacuateZone{"a"}) == Rejection::already_in_effect);
  CHECK(rejection_reason(f.m, PrepareDrain{DaemonId{999}}) == Rejection::unknown_target);
}
