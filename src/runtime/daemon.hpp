#pragma once
// What every daemon's main does alike.
#include "base/log.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {

/// Opens the data folder, or says all findings and exits as a damaged start does.
std::variant<std::shared_ptr<Disk>, int> open_disk(const std::string& folder);

/// The counters of a host in the text form of metrics.
std::string metrics_of(const Host& h, const char* program, const std::map<std::string, double>& more);

/// Runs until a signal or the machine's own stop; `leave` is called at the first signal and
/// returns true where the daemon stops at once.
int run_until_stopped(Host& h, const char* program, const std::function<bool()>& leave);

/// Says why a daemon could not start; its exit code.
int cannot_start(const char* program, const Errors& f);

}  // namespace mosskeel
