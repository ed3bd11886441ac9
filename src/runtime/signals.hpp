#pragma once
// Signal handling for daemons.
#include "mosskeel/time.hpp"

namespace mosskeel {

/// Blocks SIGTERM, SIGINT and SIGHUP for all threads started later, and ignores SIGPIPE. SIGHUP does not reload the
/// settings: a running daemon follows the directory, not its settings file.
void block_signals();

/// Waits up to `timeout` for SIGTERM or SIGINT. Returns true if one arrived.
bool wait_for_signal(Duration timeout);

}  // namespace mosskeel
