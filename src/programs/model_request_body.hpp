#pragma once
// The shape of what a model replica is asked; the one place to change it.
#include "messages/message.hpp"

namespace mosskeel {

/// One settled turn of the chain.
struct ChainLink {
  std::string input, output;
};
std::string model_body(const ProgramRequest& e, const std::vector<ChainLink>& chain, uint64_t reservation);

}  // namespace mosskeel
