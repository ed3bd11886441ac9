#pragma once
// The idle timeout of persistent connections.
#include "net/protocol_codec.hpp"

namespace mosskeel {

/// Returns the timeout of the response's "Keep-Alive: timeout=SECONDS" field, less a margin so that no request crosses
/// the replica's close, or the default if there is no such field. 0 or less means that the connection must not be
/// reused.
Duration keep_alive_of(const HeaderFields& fields);

}  // namespace mosskeel
