#include "routing/turn_index.hpp"

#include <algorithm>

namespace mosskeel {

void TurnIndex::update(const Records& records) {
  for (; length_ < records.size(); ++length_) {
    auto& record = records[length_];
    if (record.kind == RecordKind::ended)
      continue;
    auto& turn = turns_[record.key];
    if (turn.outcome)
      continue;
    if (record.kind == RecordKind::reservation && !turn.reservation) {
      turn.reservation = length_;
      reserved_tokens_ += record.tokens;
    } else if (record.kind == RecordKind::outcome) {
      turn.outcome = length_;
      turn.status = record.status;
      spent_tokens_ += record.tokens;
      if (turn.reservation)
        reserved_tokens_ -= records[*turn.reservation].tokens;
    }
  }
}

const TurnIndex::Turn* TurnIndex::find(const std::string& attempt) const {
  auto found = turns_.find(attempt);
  return found == turns_.end() ? nullptr : &found->second;
}

std::vector<const TurnIndex::Turn*> TurnIndex::chain(const Records& records, const std::string& attempt) const {
  std::vector<const Turn*> latest_first;
  // Bounded by the number of turns, so that a cycle of parents does not cause an endless loop.
  for (auto* turn = find(attempt); turn && turn->outcome && latest_first.size() <= turns_.size();) {
    latest_first.push_back(turn);
    // An imported outcome has no reservation: its text contains the whole chain before it.
    if (!turn->reservation)
      break;
    auto& parent = records[*turn->reservation].parent;
    turn = parent.empty() ? nullptr : find(parent);
  }
  std::reverse(latest_first.begin(), latest_first.end());
  return latest_first;
}

std::string TurnIndex::chain_text(const Records& records, const std::string& attempt) const {
  auto turns = chain(records, attempt);
  size_t bytes = 0;
  for (auto* turn : turns) {
    bytes += records[*turn->outcome].output.size();
    if (turn->reservation)
      bytes += records[*turn->reservation].input.size();
  }
  std::string text;
  text.reserve(bytes);
  for (auto* turn : turns) {
    if (turn->reservation)
      text += records[*turn->reservation].input;
    text += records[*turn->outcome].output;
  }
  return text;
}

}  // namespace mosskeel
