#pragma once
// What every daemon's main does alike.
#include "base/log.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"

namespace mosskeel {

/// Opens the data folder; where it is damaged, logs all errors and gives the exit code.
std::variant<std::shared_ptr<Disk>, int> open_disk(const std::string& folder);

/// The counters of a host in the text form of metrics, with those in `more` behind them.
std::string metrics_of(const Host& host, const char* program, const std::map<std::string, double>& more);

/// Runs until a signal or the state machine's own stop; the exit code. `leave` is called at the first signal and
/// returns true where the daemon stops at once; otherwise it goes on until the state machine stops or a second signal.
int run_until_stopped(Host& host, const char* program, const std::function<bool()>& leave);

/// Says why a daemon could not start; its exit code.
int cannot_start(const char* program, const Errors& errors);

}  // namespace mosskeel
