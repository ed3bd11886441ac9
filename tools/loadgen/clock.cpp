#include "clock.hpp"

#include <time.h>

#include <random>

namespace mosskeel::loadgen {
namespace {

uint64_t random_seed() {
  std::random_device device;
  uint64_t low = device();
  uint64_t high = device();
  return low ^ (high << 32);
}

}  // namespace

uint64_t random_number() {
  static thread_local std::mt19937_64 engine{random_seed()};
  return engine();
}

double clock_ms() {
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) * 1000.0 + static_cast<double>(time.tv_nsec) / 1e6;
}

void sleep_for(Duration duration) {
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  timespec time{seconds.count(), std::chrono::nanoseconds(duration - seconds).count()};
  nanosleep(&time, nullptr);
}

}  // namespace mosskeel::loadgen
