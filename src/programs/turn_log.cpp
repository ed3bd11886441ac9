#include "programs/turn_log.hpp"

#include <nlohmann/json.hpp>

namespace mosskeel {

TurnsByKey turns_by_key(const Records& records) {
  TurnsByKey turns;
  for (const auto& record : records) {
    auto& turn = turns[record.key];
    turn.latest = &record;
    if (record.kind == RecordKind::reservation)
      turn.reservation = &record;
  }
  return turns;
}

std::vector<ConversationTurn> conversation(const Records& records, const std::string& thread) {
  std::vector<ConversationTurn> chain;
  std::map<std::string, std::string> inputs;
  for (const auto& record : records) {
    if (record.thread != thread)
      continue;
    if (record.kind == RecordKind::reservation)
      inputs[record.key] = record.input;
    else if (record.status == 200)
      chain.push_back({inputs[record.key], record.output});
  }
  return chain;
}

std::string history_json(const std::string& program, std::span<const Record> committed, uint64_t budget) {
  nlohmann::json json{{"program", program}, {"turns", nlohmann::json::array()}};
  std::map<std::string, const Record*> reservations;
  std::map<std::string, bool> is_open;
  uint64_t spent = 0;
  for (const auto& record : committed) {
    is_open[record.key] = record.kind == RecordKind::reservation;
    if (record.kind == RecordKind::reservation) {
      reservations[record.key] = &record;
      continue;
    }
    spent += record.tokens;
    auto reservation = reservations.find(record.key);
    json["turns"].push_back({{"thread", record.thread},
                             {"turn", record.turn},
                             {"key", record.key},
                             {"status", record.status},
                             {"tokens", record.tokens},
                             {"input", reservation == reservations.end() ? "" : reservation->second->input},
                             {"output", record.output}});
  }
  uint64_t reserved = 0;
  for (const auto& [key, open] : is_open) {
    if (open)
      reserved += reservations[key]->tokens;
  }
  json["tokens"] = {{"spent", spent}, {"reserved", reserved}, {"budget", budget}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace mosskeel
