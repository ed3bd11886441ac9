#pragma once
// Functions shared by the main functions of all daemons.
#include "base/log.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/process_resources.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"
#include "runtime/startup.hpp"

namespace mosskeel {

/// Creates the daemon's host, which lives as long as the process: closing nng's sockets while other daemons connect may
/// wait for ever or crash, and the kernel closes them in any case.
/// @param disk null for a daemon without a journal.
/// @param max_inbox_bytes limits the messages that are queued for the state machine.
Host& create_host(std::shared_ptr<Disk> disk, const Settings& settings, size_t max_inbox_bytes = SIZE_MAX);

/// Ends the process without running exit handlers and destructors of static objects, under which nng's threads would
/// still run.
[[noreturn]] void end_process(int exit_code);

/// Beyond the grace period of the process before, which may hold the addresses and the data folder until its kill.
constexpr Duration kStartupMargin = 2000ms;

/// Opens the data directory. If that fails, logs all errors and returns the exit code.
std::variant<std::shared_ptr<Disk>, int> open_disk(Startup& startup, const std::string& folder);

/// Checks that threads can be started, and listens on the host's address.
Errors listen(Startup& startup, Host& host);

/// Opens the daemon's HTTP server.
Result<std::unique_ptr<HttpServer>> open_server(Startup& startup, const Address& address, HttpServer::Handler handler);

/// Formats a host's counters as metrics text, followed by those in `more`.
std::string metrics_of(const Host& host, const char* program, const std::map<std::string, double>& more);

/// Ends the startup, runs until a signal arrives or the state machine stops, and returns the exit code.
/// `begin_shutdown` is called at the first signal. If it returns true, the daemon stops immediately; otherwise it runs
/// until the state machine stops or a person interrupts it. A repeated SIGTERM changes nothing.
int run_until_stopped(Startup& startup, Host& host, const char* program, const std::function<bool()>& begin_shutdown);

/// Prints why a daemon could not start, and returns its exit code.
int report_start_failure(const char* program, const Errors& errors);

}  // namespace mosskeel
