#pragma once
// The part of a daemon's life before it serves: it takes its addresses and its data folder, and can be told to stop.
#include <atomic>
#include <thread>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Guards a daemon's start.
///
/// SIGTERM and SIGINT end the process at once with exit code 0, whatever the start waits for: nothing has been accepted
/// yet, and what is on disk is as safe as after a crash. Resources that another process still holds, such as the
/// daemon that ran here before and is stopping, are waited for.
///
/// The signals must be blocked in all threads (`block_signals`). Used by the main thread.
class Startup {
 public:
  /// @param program for log lines; must outlive this object.
  /// @param patience how long the resources that other processes hold are waited for, all together.
  Startup(const char* program, Duration patience);
  ~Startup();
  Startup(const Startup&) = delete;
  Startup& operator=(const Startup&) = delete;

  /// Calls `attempt` until it returns no error or one that waiting does not mend, or until the patience has ended.
  /// @return the errors of the last call.
  Errors retry(const std::function<Errors()>& attempt);
  /// Ends the startup: from now on the daemon itself takes the signals.
  void finish();

 private:
  void await_stop_signal();

  const char* program_;
  const TimePoint give_up_at_;
  std::atomic<bool> finished_{false};
  std::thread signal_thread_;
};

/// Whether another attempt may succeed: all errors are `ErrorCode::unavailable`, and there is one.
bool is_unavailable(const Errors& errors);

}  // namespace mosskeel
