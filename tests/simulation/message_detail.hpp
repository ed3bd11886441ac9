#pragma once
// Message descriptions for the trace of a replayed run.
#include "messages/message.hpp"

namespace mosskeel::sim {

/// Text that follows a message's kind in the trace: contents of messages about histories, empty for others.
std::string describe_contents(const Message& message);

}  // namespace mosskeel::sim
