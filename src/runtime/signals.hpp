#pragma once
// A daemon's signals.
#include "mosskeel/time.hpp"

namespace mosskeel {

/// Blocks SIGTERM, SIGINT and SIGHUP for all threads started later, and ignores SIGPIPE. SIGHUP changes nothing here:
/// a daemon follows the directory and not its settings file once it has started.
void block_signals();

/// Waits up to `timeout` for SIGTERM or SIGINT; true once one came.
bool wait_for_signal(Duration timeout);

}  // namespace mosskeel
