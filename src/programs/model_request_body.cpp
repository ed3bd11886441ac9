#include "programs/model_request_body.hpp"

#include <nlohmann/json.hpp>

namespace mosskeel {

std::string model_request_body(const ProgramRequest& request, const std::vector<ConversationTurn>& conversation,
                               uint64_t max_tokens) {
  nlohmann::json json{{"attempt", request.attempt}, {"cell", request.cell},    {"program", request.program},
                      {"thread", request.thread},   {"key", request.key},      {"prefix", request.prefix},
                      {"input", request.body},      {"max_tokens", max_tokens}};
  auto& chain = json["chain"] = nlohmann::json::array();
  for (const auto& turn : conversation)
    chain.push_back({{"input", turn.input}, {"output", turn.output}});
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace mosskeel
