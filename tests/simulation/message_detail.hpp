#pragma once
// Texts for the notes of a replayed day.
#include "messages/message.hpp"

namespace mosskeel::sim {

/// What the notes of a replay add to a message's kind: the contents of messages about histories, nothing for others.
std::string describe_contents(const Message& message);

}  // namespace mosskeel::sim
