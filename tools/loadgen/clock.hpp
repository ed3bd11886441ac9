#pragma once
// Time and random numbers of the load generator's threads.
#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

/// A random number, another sequence in each thread and run.
uint64_t random_number();
/// Milliseconds of the machine's steady clock.
double clock_ms();
void sleep_for(Duration duration);

}  // namespace mosskeel::loadgen
