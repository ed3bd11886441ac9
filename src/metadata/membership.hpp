#pragma once
// What the log's steps and the supervisor both ask of the core's membership, and its limits.
#include "kernel/limits.hpp"
#include "metadata/values.hpp"

namespace mosskeel {

namespace limits {
constexpr size_t core_least = 3;        // count; no member leaves a core of so few without one in its place
constexpr Millis register_retry = 300;  // ms; between two asks to be registered, each to another member
constexpr Millis leave_patience = 600;  // ms; a controller that stops waits this long until the core goes on without
}  // namespace limits

/// How many core members are marked down.
size_t members_down(const Metadata& m);

}  // namespace mosskeel
