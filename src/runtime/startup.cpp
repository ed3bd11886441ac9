#include "runtime/startup.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>

#include "base/log.hpp"
#include "runtime/host.hpp"
#include "runtime/signals.hpp"

namespace mosskeel {
namespace {

/// Interval between two attempts to take a resource that another process holds.
constexpr Duration kRetryInterval = 50ms;
/// Bounds how long `finish` waits for the thread that takes signals.
constexpr Duration kSignalWait = 10ms;

}  // namespace

bool is_unavailable(const Errors& errors) {
  return !errors.empty() && std::all_of(errors.begin(), errors.end(),
                                        [](const Error& error) { return error.code == ErrorCode::unavailable; });
}

Startup::Startup(const char* program, Duration patience)
    : program_(program), give_up_at_(process_now() + patience), signal_thread_([this] { await_stop_signal(); }) {}

Startup::~Startup() {
  finish();
}

void Startup::await_stop_signal() {
  while (!finished_) {
    if (wait_for_stop_signal(kSignalWait) == StopSignal::none)
      continue;
    log_event(Event::stopped, std::string(program_) + ", before it had started");
    // Runs no destructors: the main thread may be anywhere.
    ::_exit(EXIT_SUCCESS);
  }
}

Errors Startup::retry(const std::function<Errors()>& attempt) {
  auto errors = attempt();
  if (is_unavailable(errors))
    log_event(Event::start_waits, to_string(errors));
  while (is_unavailable(errors) && process_now() < give_up_at_) {
    std::this_thread::sleep_for(kRetryInterval);
    errors = attempt();
  }
  return errors;
}

void Startup::finish() {
  finished_ = true;
  if (signal_thread_.joinable())
    signal_thread_.join();
}

}  // namespace mosskeel
