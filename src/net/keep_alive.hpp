#pragma once
// How long a kept connection may be idle.
#include "net/protocol_codec.hpp"

namespace mosskeel {

/// By the response's "Keep-Alive: timeout=SECONDS", less a margin so that no request crosses the replica's close; else
/// the default. Not above 0 where the connection must not be kept.
Duration keep_alive_of(const HeaderFields& fields);

}  // namespace mosskeel
