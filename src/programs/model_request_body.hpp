#pragma once
// The JSON that a model replica is sent for a turn; the one place to change its shape.
#include "programs/turn_log.hpp"

namespace mosskeel {

/// The body of a turn's request: the conversation so far, the input, and at most how many tokens to make.
std::string model_request_body(const ProgramRequest& request, const std::vector<ChainLink>& conversation,
                               uint64_t max_tokens);

}  // namespace mosskeel
