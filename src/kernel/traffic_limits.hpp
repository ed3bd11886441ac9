#pragma once
// The constants of callers' traffic, with unit and reason.
#include "kernel/limits.hpp"

namespace mosskeel::limits {

constexpr Millis unready_patience = 3200;  // ms; a platform that asks each second misses readiness twice by then
constexpr Millis agent_farewell = 2000;    // ms; an agent outlives its gateway, which may be starved of processor
constexpr Millis sure_rest = 300;          // ms; no replica forgets a kept connection sooner: the least it says is 1 s
constexpr size_t recent_attempts = 4096;   // count; ids of what ran and may not run again, 30 s of a busy front

}  // namespace mosskeel::limits
