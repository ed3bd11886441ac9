// Tests whether a request may be retried at another replica, and which status its caller gets otherwise.
#include "routing/retry_state.hpp"

#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

TEST_CASE("RetryState allows a retry after an attempt that may have been executed only where the path is idempotent") {
  RetryState retry;
  retry.on_sent("app1");

  CHECK(retry.allows_retry(path("safe", "safe", "app"), Outcome::unknown));
  CHECK_FALSE(retry.allows_retry(path("unsafe", "unsafe", "app"), Outcome::unknown));
  CHECK(retry.allows_retry(path("unsafe", "unsafe", "app"), Outcome::no));
}

TEST_CASE("RetryState allows as many attempts as the path does, not counting those that were not sent") {
  auto two_attempts = path("safe", "safe", "app");
  RetryState retry;
  retry.on_sent("app1");

  CHECK(retry.has_attempts_left(two_attempts));

  retry.on_sent("app2");
  CHECK_FALSE(retry.has_attempts_left(two_attempts));

  retry.on_not_sent();
  CHECK(retry.has_attempts_left(two_attempts));
  CHECK(retry.tried_replicas() == std::vector<std::string>{"app1", "app2"});
}

TEST_CASE("RetryState tries no more than kMaxReplicasPerRequest replicas, reached or not") {
  auto many_attempts = path("safe", "safe", "app");
  many_attempts.attempts = 100;
  RetryState retry;
  for (size_t replica = 0; replica < kMaxReplicasPerRequest; ++replica) {
    CHECK(retry.allows_retry(many_attempts, Outcome::no));

    retry.on_sent("app" + std::to_string(replica));
    retry.on_not_sent();
  }

  CHECK_FALSE(retry.allows_retry(many_attempts, Outcome::no));
}

TEST_CASE("RetryState reports an unknown outcome once an attempt may have been executed") {
  RetryState retry;
  retry.on_failure(Outcome::no);

  CHECK(retry.error_status() == 503);
  CHECK(retry.turn_status() == 0);

  retry.on_failure(Outcome::unknown);
  retry.on_failure(Outcome::no);

  CHECK(retry.outcome_unknown());
  CHECK(retry.error_status() == 502);
  CHECK(retry.turn_status() == 502);
}
