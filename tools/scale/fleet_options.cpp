#include "scale/fleet_options.hpp"

#include <time.h>

#include "base/codec.hpp"

namespace mosskeel::scale {

TimePoint machine_now() {
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  std::chrono::seconds seconds(time.tv_sec);
  std::chrono::nanoseconds nanoseconds(time.tv_nsec);
  return TimePoint{seconds + std::chrono::duration_cast<Duration>(nanoseconds)};
}

std::string fingerprint(const Metadata& metadata) {
  return hex(digest(codec::encode(metadata)));
}

}  // namespace mosskeel::scale
