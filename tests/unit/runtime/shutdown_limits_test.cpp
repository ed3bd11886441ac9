// Time limits for requests during a graceful shutdown.
#include "runtime/shutdown_limits.hpp"

#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kBegin{1000000ms};

}  // namespace

TEST_CASE("ShutdownLimits reject only late requests whose deadline is after the end of the shutdown") {
  auto limits = ShutdownLimits::begin(kBegin, 8000ms);
  auto late = kBegin + kShutdownRefusalDelay;

  CHECK(limits.ends_at == kBegin + 7500ms);
  CHECK_FALSE(limits.refuses(kBegin + 60000ms, late - 1ms));
  CHECK(limits.refuses(kBegin + 7501ms, late));
  CHECK_FALSE(limits.refuses(kBegin + 7500ms, late));
}

TEST_CASE("ShutdownLimits shorten only deadlines that are after the end of the shutdown") {
  auto limits = ShutdownLimits::begin(kBegin, 8000ms);

  CHECK(limits.clamped(kBegin + 60000ms) == kBegin + 7500ms);
  CHECK(limits.clamped(kBegin + 4000ms) == kBegin + 4000ms);
}

TEST_CASE("ShutdownLimits of a short grace period reject requests from its end on, not later") {
  auto short_stop = ShutdownLimits::begin(kBegin, 2000ms);
  auto no_time = ShutdownLimits::begin(kBegin, 0ms);

  CHECK(short_stop.refuse_from == kBegin + 1500ms);
  CHECK(short_stop.refuses(kBegin + 4000ms, kBegin + 1500ms));
  CHECK(no_time.ends_at == kBegin);
  CHECK(no_time.refuses(kBegin + 1ms, kBegin));
}
