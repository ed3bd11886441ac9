// Tests that a rise of the memory use is reported once for each threshold.
#include "gateway/memory_monitor.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("MemoryMonitor reports each rise above a threshold once, and again only after a clear fall") {
  size_t used = 0;
  MemoryMonitor monitor([&] { return MemoryUsage{used, 1000}; });
  TimePoint now{1000ms};
  auto reports_at = [&](size_t bytes) {
    used = bytes;
    now += 1000ms;
    return monitor.check(now).has_value();
  };

  CHECK_FALSE(reports_at(400));
  CHECK(reports_at(510));
  CHECK_FALSE(reports_at(600));
  CHECK_FALSE(reports_at(450));
  CHECK_FALSE(reports_at(510));
  CHECK_FALSE(reports_at(390));
  CHECK(reports_at(510));
  CHECK(reports_at(900));
  CHECK_FALSE(reports_at(990));
}

TEST_CASE("MemoryMonitor measures no more often than its interval") {
  int measurements = 0;
  MemoryMonitor monitor([&] {
    ++measurements;
    return MemoryUsage{0, 1000};
  });

  for (int millisecond = 0; millisecond < 1000; ++millisecond)
    monitor.check(TimePoint{1000ms} + Duration(millisecond));

  CHECK(measurements == 10);
}
