// How the proposer answers commit requests when network partitions occur at any point, with real controllers in a
// simulated world.
#include "simulation/world.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using sim::World;

namespace {

constexpr Duration kFoundingTimeout = 30000ms;
constexpr Duration kSettleTime = 3000ms;
/// Timeout of an operator's request.
constexpr Duration kOperatorCommitTimeout = 900ms;

/// A small cluster with three controllers, and the replies to their local requesters.
struct SimulatedCore {
  World world;
  std::map<Address, std::vector<CommitReply>> replies;

  explicit SimulatedCore(uint64_t seed) : world(seed, {3, 3, 1, 1, 3, 1}) {
    world.local = [this](sim::Node&, const Envelope& envelope) {
      if (const auto* reply = std::get_if<CommitReply>(&envelope.body))
        replies[envelope.to].push_back(*reply);
    };
    REQUIRE(world.until(kFoundingTimeout, [this] { return is_founded(); }));
    world.run(kSettleTime);
  }

  void commit(const std::string& controller, const Address& requester, const std::string& commit_id,
              const Transformation& change, Duration timeout = {}) {
    Envelope envelope{};
    envelope.from = requester;
    envelope.cluster = view(controller)->cluster;
    envelope.epoch = view(controller)->epoch;
    envelope.body = Commit{commit_id, change, envelope.epoch, timeout.count()};
    world.post(controller, envelope);
  }

  MetadataSnapshot view(const std::string& controller) { return world.node(controller).machine->view(); }

  size_t count_replies(const Address& requester, CommitOutcome outcome) {
    size_t count = 0;
    for (const CommitReply& reply : replies[requester])
      if (reply.outcome == outcome)
        ++count;
    return count;
  }

 private:
  bool is_founded() {
    for (const std::string& controller : world.names(sim::Kind::controller))
      if (!view(controller)->cluster)
        return false;
    return view("controller1")->directory.size() >= 7;
  }
};

ApplyConfiguration empty_configuration(Revision base, uint64_t revision) {
  return {base, {}, Revision{revision}};
}

}  // namespace

TEST_CASE("Proposer rejects a commit only after a majority has confirmed its log") {
  SimulatedCore core(5);
  core.world.isolate("controller1");

  core.commit("controller1", "local:invalid", "invalid", RemoveReplica{""}, kOperatorCommitTimeout);
  core.world.run(kOperatorCommitTimeout * 2);

  CHECK(core.count_replies("local:invalid", CommitOutcome::rejected) == 0);
  CHECK(core.count_replies("local:invalid", CommitOutcome::unknown) == 1);

  core.world.heal();
  core.world.run(kSettleTime);
  core.commit("controller1", "local:again", "again", RemoveReplica{""}, kOperatorCommitTimeout);
  core.world.run(kOperatorCommitTimeout * 2);

  CHECK(core.count_replies("local:again", CommitOutcome::rejected) == 1);
}

TEST_CASE("Proposer rejects no commit that arrived after the quorum read began") {
  constexpr Duration kSecondCommitAfter = 1500ms;
  for (int i = 0; i < 60; ++i) {
    Duration healed_after = kSecondCommitAfter + 10ms * i;
    INFO("healed " << healed_after.count() << " ms after the first commit");
    SimulatedCore core(7);
    core.world.net.delay = 100ms;
    core.world.isolate("controller1");

    core.commit("controller1", "local:bad", "bad", RemoveReplica{""});
    core.world.run(kSecondCommitAfter);
    core.commit("controller1", "local:good", "good", empty_configuration(core.view("controller1")->revision, 9));
    core.world.run(healed_after - kSecondCommitAfter);
    core.world.heal();
    core.world.run(5000ms);

    CHECK(core.count_replies("local:good", CommitOutcome::rejected) == 0);
    CHECK(core.count_replies("local:bad", CommitOutcome::committed) == 0);
  }
}

TEST_CASE("Proposer does not propose a commit that it answered as unknown before sending any accept request") {
  for (int i = 0; i < 40; ++i) {
    Duration healed_after = 930ms + 10ms * i;
    INFO("healed " << healed_after.count() << " ms after the commit");
    SimulatedCore core(11);
    core.world.isolate("controller1");

    core.commit("controller1", "local:a", "a", empty_configuration(core.view("controller1")->revision, 9),
                kOperatorCommitTimeout);
    core.world.run(healed_after);
    core.world.heal();
    core.world.run(5000ms);

    CHECK(core.count_replies("local:a", CommitOutcome::unknown) == 1);
    CHECK_FALSE(core.view("controller2")->epoch_of_commit("a"));
  }
}

TEST_CASE("Proposer commits exactly one of two changes on one base, whenever a network partition occurs") {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    for (Duration isolated_after{}; isolated_after <= 16ms; ++isolated_after) {
      INFO("seed " << seed << ", isolated after " << isolated_after.count() << " ms");
      SimulatedCore core(seed);
      Revision base = core.view("controller1")->revision;
      ApplyConfiguration first = empty_configuration(base, base.value() + 2);
      ApplyConfiguration second = empty_configuration(base, base.value() + 3);

      core.commit("controller1", "local:first", "first", first, kOperatorCommitTimeout);
      core.world.run(isolated_after);
      core.world.isolate("controller1");
      core.world.run(1000ms - isolated_after);
      core.commit("controller2", "local:second", "second", second, kOperatorCommitTimeout);
      core.world.run(Duration(200 * seed));
      core.world.heal();
      core.world.run(2000ms);
      core.commit("controller3", "local:first again", "first", first, kOperatorCommitTimeout);
      core.commit("controller1", "local:second again", "second", second, kOperatorCommitTimeout);
      core.world.run(2000ms);

      auto first_has = [&](CommitOutcome outcome) {
        return core.count_replies("local:first", outcome) + core.count_replies("local:first again", outcome) > 0;
      };
      auto second_has = [&](CommitOutcome outcome) {
        return core.count_replies("local:second", outcome) + core.count_replies("local:second again", outcome) > 0;
      };
      bool first_committed = first_has(CommitOutcome::committed);

      CHECK(first_committed != second_has(CommitOutcome::committed));
      CHECK(first_committed != first_has(CommitOutcome::rejected));
      CHECK(first_committed == second_has(CommitOutcome::rejected));
      for (const auto& [requester, replies] : core.replies)
        for (const CommitReply& reply : replies)
          if (reply.outcome == CommitOutcome::rejected)
            CHECK(reply.rejection == Rejection::revision_conflict);
    }
  }
}

TEST_CASE("Proposer acknowledges a repeated commit only after a majority has answered, and never rejects it") {
  SimulatedCore core(3);
  Revision base = core.view("controller1")->revision;
  core.commit("controller2", "local:first", "a", empty_configuration(base, 9));
  core.world.run(3000ms);
  REQUIRE(core.count_replies("local:first", CommitOutcome::committed) == 1);

  core.world.isolate("controller1");
  core.commit("controller1", "local:repeated", "a", empty_configuration(base, 9), kOperatorCommitTimeout);
  core.commit("controller1", "local:rival", "b", empty_configuration(base, 9), kOperatorCommitTimeout);
  core.world.run(2000ms);

  CHECK(core.count_replies("local:repeated", CommitOutcome::committed) == 0);
  CHECK(core.count_replies("local:repeated", CommitOutcome::unknown) == 1);
  CHECK(core.count_replies("local:rival", CommitOutcome::rejected) == 0);

  core.world.heal();
  core.world.run(2000ms);
  core.commit("controller1", "local:repeated", "a", empty_configuration(base, 9), kOperatorCommitTimeout);
  core.commit("controller1", "local:rival", "b", empty_configuration(base, 9), kOperatorCommitTimeout);
  core.world.run(2000ms);

  CHECK(core.count_replies("local:repeated", CommitOutcome::committed) == 1);
  CHECK(core.count_replies("local:rival", CommitOutcome::rejected) == 1);
}

TEST_CASE("Proposer commits one of eight concurrent changes on one base, and answers all of them and eight reads") {
  constexpr uint64_t kChanges = 8;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    SimulatedCore core(seed);
    Revision base = core.view("controller1")->revision;
    for (uint64_t i = 0; i < kChanges; ++i) {
      std::string number = std::to_string(i);
      std::string controller = "controller" + std::to_string(1 + i % 3);
      core.commit(controller, "local:change" + number, "change" + number, empty_configuration(base, 20 + i),
                  kOperatorCommitTimeout);
      core.commit(controller, "local:read" + number, "read" + number, RemoveReplica{""}, kOperatorCommitTimeout);
    }

    core.world.run(kOperatorCommitTimeout);

    size_t committed = 0;
    size_t rejected = 0;
    size_t reads = 0;
    for (uint64_t i = 0; i < kChanges; ++i) {
      std::string number = std::to_string(i);
      committed += core.count_replies("local:change" + number, CommitOutcome::committed);
      rejected += core.count_replies("local:change" + number, CommitOutcome::rejected);
      reads += core.count_replies("local:read" + number, CommitOutcome::rejected);
    }

    CHECK(committed == 1);
    CHECK(rejected == 7);
    CHECK(reads == 8);
  }
}
