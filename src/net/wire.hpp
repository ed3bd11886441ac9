#pragma once
// Encodes and decodes the messages between daemons.
#include "messages/message.hpp"

namespace mosskeel {

/// Returns the encoded envelope followed by a checksum.
std::string encode(const Envelope& envelope);

/// Returns no value unless the bytes are exactly one intact message of the current protocol revision.
std::optional<Envelope> decode(std::string_view bytes);

/// Returns the kind of a message as shown in traces.
const char* kind_name(const Message& message);

}  // namespace mosskeel
