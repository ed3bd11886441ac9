#pragma once
// Functions shared by the main functions of all daemons.
#include "base/log.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/process_resources.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"

namespace mosskeel {

/// Opens the data directory. If it is damaged, logs all errors and returns the exit code.
std::variant<std::shared_ptr<Disk>, int> open_disk(const std::string& folder);

/// Formats a host's counters as metrics text, followed by those in `more`.
std::string metrics_of(const Host& host, const char* program, const std::map<std::string, double>& more);

/// Runs until a signal arrives or the state machine stops, and returns the exit code. `begin_shutdown` is called at the
/// first signal. If it returns true, the daemon stops immediately; otherwise it runs until the state machine stops or a
/// person interrupts it. A repeated SIGTERM changes nothing.
int run_until_stopped(Host& host, const char* program, const std::function<bool()>& begin_shutdown);

/// Prints why a daemon could not start, and returns its exit code.
int report_start_failure(const char* program, const Errors& errors);

}  // namespace mosskeel
