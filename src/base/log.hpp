#pragma once
// Logging of numbered events through glog.
#include "base/events.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An event to be logged, with its details.
struct LogEntry {
  Event event;
  std::string text;
};

/// Initializes logging to standard error. Must be called once, before any thread logs.
void start_log(const char* program);

/// Logs one line, "event=NUMBER meaning: text". Events that require an operator's action have severity ERROR, all
/// others INFO. Thread-safe.
void log_event(Event event, const std::string& text);

/// Returns the description of an event, as in docs/events.md.
const char* meaning(Event event);

}  // namespace mosskeel
