#pragma once
// The payload size of a message, used to bound the memory of queues.
#include "messages/message.hpp"

namespace mosskeel {

/// Returns the size in bytes of the histories and chains in a message; 0 for kinds without any.
size_t history_bytes(const Message& message);

}  // namespace mosskeel
