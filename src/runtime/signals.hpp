#pragma once
// Signal handling for daemons.
#include "mosskeel/time.hpp"

namespace mosskeel {

/// A signal that asks a daemon to stop.
enum class StopSignal {
  none,
  /// SIGTERM: a platform's order, which may be repeated.
  terminate,
  /// SIGINT: a person at the terminal.
  interrupt
};

/// Blocks SIGTERM, SIGINT and SIGHUP for all threads started later, and ignores SIGPIPE and SIGXFSZ: a write to a
/// closed connection or beyond a file size limit is an error of that write. SIGHUP does not reload the settings: a
/// running daemon follows the directory, not its settings file. Must be called before the first thread is started.
void block_signals();

/// Waits up to `timeout` for a signal that asks the daemon to stop, and takes it. Returns `none` after a timeout.
StopSignal wait_for_stop_signal(Duration timeout);

}  // namespace mosskeel
