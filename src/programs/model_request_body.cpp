#include "programs/model_request_body.hpp"

#include <nlohmann/json.hpp>

namespace mosskeel {

std::string model_body(const ProgramRequest& e, const std::vector<ChainLink>& chain, uint64_t reservation) {
  nlohmann::json j{{"attempt", e.attempt}, {"cell", e.cell},     {"program", e.program}, {"thread", e.thread},
                   {"key", e.key},         {"prefix", e.prefix}, {"input", e.body},      {"max_tokens", reservation}};
  auto& c = j["chain"] = nlohmann::json::array();
  for (auto& x : chain)
    c.push_back({{"input", x.input}, {"output", x.output}});
  return j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace mosskeel
