// When the commit queue replies to a requester, and with which outcome.
#include "consensus/commit_queue.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"
#include "unit/consensus/controllers_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr TimePoint kStart = kProcessClockStart;
constexpr Duration kAttemptTimeout = kCommitAttemptTimeout;

/// A queue with the log of a founded cluster. `missing` is what each epoch lacks to be in force.
struct QueueWithLog {
  Outbox outbox{Identity{controller(1), {}}};
  MetadataLog metadata_log;
  std::string missing;
  CommitQueue queue{outbox, metadata_log, [this](Epoch, TimePoint) {
                      return missing;
                    }};

  QueueWithLog() { append("found", FoundCluster{7, 3, three_controllers()}); }

  void append(const std::string& commit_id, const Transformation& change) {
    REQUIRE(metadata_log.add({next(metadata_log.epoch()), commit_id, change}).size() == 1);
  }

  bool add(const std::string& commit_id, const Transformation& change, TimePoint now, int64_t timeout_ms = 0,
           const Address& requester = "local:1") {
    Envelope envelope{};
    envelope.from = requester;
    return queue.add(envelope, Commit{commit_id, change, metadata_log.epoch(), timeout_ms}, now);
  }

  /// The replies since the last call.
  std::vector<CommitReply> take_replies() {
    std::vector<CommitReply> replies;
    for (const Envelope& envelope : outbox.take().synced)
      replies.push_back(std::get<CommitReply>(envelope.body));
    return replies;
  }
};

/// A change that is invalid for any metadata.
const RemoveReplica kInvalidChange{""};

ApplyConfiguration empty_configuration() {
  return {Revision{0}, {}, Revision{1}};
}

}  // namespace

TEST_CASE("CommitQueue extends the deadline of a repeated request and does not queue it twice") {
  QueueWithLog fixture;
  CHECK(fixture.add("a", kInvalidChange, kStart));

  CHECK_FALSE(fixture.add("a", kInvalidChange, kStart + 500ms));

  // Another requester of the same commit gets a separate reply.
  CHECK(fixture.add("a", kInvalidChange, kStart + 500ms, 0, "local:2"));

  CHECK(fixture.queue.expire(kStart + kAttemptTimeout).empty());
  CHECK(fixture.queue.expire(kStart + kAttemptTimeout + 499ms).empty());
  CHECK(fixture.queue.expire(kStart + kAttemptTimeout + 500ms).size() == 2);
  CHECK(fixture.queue.empty());
}

TEST_CASE("CommitQueue uses a requester's timeout only if it is shorter than the controller's") {
  QueueWithLog fixture;
  fixture.add("short", kInvalidChange, kStart, 100);
  fixture.add("long", kInvalidChange, kStart, kAttemptTimeout.count() * 10);

  auto expired = fixture.queue.expire(kStart + 100ms);

  REQUIRE(expired.size() == 1);
  CHECK(expired.front().id == "short");
  CHECK(fixture.queue.expire(kStart + kAttemptTimeout).size() == 1);

  auto replies = fixture.take_replies();
  REQUIRE(replies.size() == 2);

  CHECK(replies[0].outcome == CommitOutcome::unknown);
  CHECK(replies[1].outcome == CommitOutcome::unknown);
}

TEST_CASE("CommitQueue does not expire a request that was proposed and appended") {
  QueueWithLog fixture;
  fixture.add("a", empty_configuration(), kStart);
  fixture.queue.first().proposed = true;
  fixture.append("a", empty_configuration());

  CHECK(fixture.queue.expire(kStart + kAttemptTimeout).empty());

  fixture.queue.acknowledge_first(kStart + kAttemptTimeout);

  auto replies = fixture.take_replies();
  REQUIRE(replies.size() == 1);

  CHECK(replies.front().outcome == CommitOutcome::committed);
}

TEST_CASE("CommitQueue acknowledges a configuration once it is in force, or with an unknown outcome at its deadline") {
  QueueWithLog fixture;
  fixture.missing = "daemon 3";
  fixture.add("a", empty_configuration(), kStart);
  fixture.append("a", empty_configuration());
  fixture.queue.acknowledge_first(kStart + 1ms);
  fixture.queue.acknowledge_in_force(kStart + kAttemptTimeout - 1ms);

  CHECK(fixture.take_replies().empty());

  SECTION("in force in time") {
    fixture.missing.clear();
    fixture.queue.acknowledge_in_force(kStart + kAttemptTimeout - 1ms);
    auto replies = fixture.take_replies();
    REQUIRE(replies.size() == 1);

    CHECK(replies.front().outcome == CommitOutcome::committed);
    CHECK(replies.front().epoch == Epoch{2});
  }
  SECTION("not in force in time") {
    fixture.queue.acknowledge_in_force(kStart + kAttemptTimeout);
    auto replies = fixture.take_replies();
    REQUIRE(replies.size() == 1);

    CHECK(replies.front().outcome == CommitOutcome::unknown);
  }

  // No requester gets a second reply.
  fixture.queue.acknowledge_in_force(kStart + kAttemptTimeout * 2);
  CHECK(fixture.take_replies().empty());
}

TEST_CASE("CommitQueue rejects an invalid request that a quorum read covers, and none that arrived after it") {
  QueueWithLog fixture;
  fixture.add("bad", kInvalidChange, kStart);
  uint64_t confirmed = fixture.queue.last_ticket();
  fixture.add("later", kInvalidChange, kStart);

  fixture.queue.answer_up_to(confirmed, kStart);

  auto replies = fixture.take_replies();
  REQUIRE(replies.size() == 1);

  CHECK(replies.front().id == "bad");
  CHECK(replies.front().outcome == CommitOutcome::rejected);
  CHECK(fixture.queue.first().id == "later");
}

TEST_CASE("CommitQueue rejects no request that is queued behind a valid one") {
  QueueWithLog fixture;
  fixture.add("good", empty_configuration(), kStart);
  fixture.add("bad", kInvalidChange, kStart);

  fixture.queue.answer_up_to(fixture.queue.last_ticket(), kStart);

  CHECK(fixture.take_replies().empty());
  CHECK(fixture.queue.first().id == "good");
}
