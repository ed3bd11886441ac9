#pragma once
// How much text a message carries, to bound what waits in memory.
#include "messages/message.hpp"

namespace mosskeel {

/// Bytes of the histories and chains in a message; 0 for kinds that carry none.
size_t history_bytes(const Message& message);

}  // namespace mosskeel
