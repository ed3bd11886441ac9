#pragma once
// The one place where whole messages become bytes and back.
#include "messages/message.hpp"

namespace mosskeel {

std::string encode(const Envelope& e);
/// Nothing unless the bytes are one whole message of our protocol revision.
std::optional<Envelope> decode(std::string_view s);
const char* kind_name(const Message& m);

}  // namespace mosskeel
