#include "scale/fleet_options.hpp"

#include <time.h>

#include "base/codec.hpp"

namespace mosskeel::scale {

TimePoint machine_now() {
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  return Duration(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

std::string fingerprint(const Metadata& metadata) {
  return hex(digest(codec::encode(metadata)));
}

}  // namespace mosskeel::scale
