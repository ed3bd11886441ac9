#include "history/turn_chain.hpp"

#include <algorithm>
#include <unordered_map>

namespace mosskeel {
namespace {

constexpr uint32_t kStatusSucceeded = 200;

/// Searches from the end, since mostly recent turns are requested.
bool has_outcome(const Records& records, const std::string& turn) {
  return std::any_of(records.rbegin(), records.rend(),
                     [&](auto& record) { return record.kind == RecordKind::outcome && record.key == turn; });
}

std::string concatenate_reversed(const std::vector<std::string>& parts) {
  std::string text;
  for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    text += *part;
  return text;
}

}  // namespace

std::optional<std::string> chain_text(const Records& records, const std::string& turn) {
  std::unordered_map<std::string, const Record*> reservations, outcomes;
  for (auto& record : records) {
    if (record.kind == RecordKind::reservation)
      reservations.emplace(record.key, &record);
    if (record.kind == RecordKind::outcome)
      outcomes.emplace(record.key, &record);
  }
  // Walks from the last turn back to the first. The bound ends the walk if damaged records form a cycle.
  std::vector<std::string> parts;
  const size_t max_parts = 2 * records.size();
  for (auto key = turn; !key.empty() && parts.size() <= max_parts;) {
    auto outcome = outcomes.find(key);
    if (outcome == outcomes.end() || outcome->second->status != kStatusSucceeded)
      return std::nullopt;
    parts.push_back(outcome->second->output);
    // An outcome without a reservation was imported from another program's history and contains its chain's full text.
    auto reservation = reservations.find(key);
    if (reservation == reservations.end())
      break;
    parts.push_back(reservation->second->input);
    key = reservation->second->parent;
  }
  return concatenate_reversed(parts);
}

std::optional<std::string> find_chain_text(const StoredPartitions& partitions, const std::string& turn) {
  for (auto& [id, partition] : partitions)
    for (auto& [name, history] : partition.histories) {
      if (!has_outcome(history.records, turn))
        continue;
      if (auto text = chain_text(history.records, turn))
        return text;
    }
  return std::nullopt;
}

}  // namespace mosskeel
