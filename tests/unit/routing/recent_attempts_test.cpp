// Tests how many attempt ids a gateway remembers.
#include "routing/recent_attempts.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("RecentAttempts evicts only the oldest id when it is full") {
  RecentAttempts attempts;
  for (size_t number = 0; number <= kRecentAttempts; ++number)
    attempts.add("a" + std::to_string(number));

  CHECK_FALSE(attempts.contains("a0"));
  CHECK(attempts.contains("a1"));
  CHECK(attempts.contains("a" + std::to_string(kRecentAttempts)));
}

TEST_CASE("RecentAttempts stores an id that is added repeatedly only once") {
  RecentAttempts attempts;
  attempts.add("first");
  for (size_t repetition = 0; repetition <= kRecentAttempts; ++repetition)
    attempts.add("second");

  CHECK(attempts.contains("first"));
}
