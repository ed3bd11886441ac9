#pragma once
// The one place where messages between daemons become bytes and back.
#include "messages/message.hpp"

namespace mosskeel {

/// The envelope with a checksum behind it.
std::string encode(const Envelope& envelope);

/// Nothing unless the bytes are exactly one undamaged message of our protocol revision.
std::optional<Envelope> decode(std::string_view bytes);

/// The kind of a message, as traces show it.
const char* kind_name(const Message& message);

}  // namespace mosskeel
