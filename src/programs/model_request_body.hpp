#pragma once
// The JSON request body that is sent to a model replica for a turn. Its format is defined only here.
#include "programs/turn_log.hpp"

namespace mosskeel {

/// The body of a turn's request: the conversation so far, the input, and the maximum number of tokens to generate.
std::string model_request_body(const ProgramRequest& request, const std::vector<ConversationTurn>& conversation,
                               uint64_t max_tokens);

}  // namespace mosskeel
