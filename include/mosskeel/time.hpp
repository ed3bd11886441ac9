#pragma once
// Time as state machines see it.
#include <cstdint>

namespace mosskeel {

/// Milliseconds: a duration, or a point on one process's own steady clock. Points of two processes are not comparable.
using Millis = int64_t;

}  // namespace mosskeel
