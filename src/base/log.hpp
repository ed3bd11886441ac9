#pragma once
// Numbered log events through glog.
#include "base/events.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An event with its particulars, to be logged.
struct LogEntry {
  Event event;
  std::string text;
};

/// Sends the log to standard error; called once, before any thread logs.
void start_log(const char* program);

/// Writes one line, "event=NUMBER meaning: text"; thread-safe. Events that call for an operator are errors, all others
/// information.
void log_event(Event event, const std::string& text);

/// What an event means, as in docs/events.md.
const char* meaning(Event event);

}  // namespace mosskeel
