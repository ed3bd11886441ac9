#pragma once
// The turns of a program, read from the records of its history.
#include <map>
#include <span>
#include <string>
#include <vector>

#include "messages/message.hpp"

namespace mosskeel {

/// The records under one key. Both point into the history that was read.
struct KeyedTurn {
  /// The newest reservation, or null.
  const Record* reservation = nullptr;
  /// The newest record; never null.
  const Record* latest = nullptr;

  /// Reserved, and no outcome is known yet.
  bool is_open() const { return latest->kind == RecordKind::reservation; }
  /// The outcome says that the turn never ran, so its key may be used again.
  bool has_not_run() const { return latest->kind == RecordKind::outcome && latest->status == 0; }
};
using TurnsByKey = std::map<std::string, KeyedTurn>;

TurnsByKey turns_by_key(const Records& records);

/// One turn of a conversation.
struct ConversationTurn {
  std::string input;
  std::string output;
};

/// The successful turns of a thread, oldest first.
std::vector<ConversationTurn> conversation(const Records& records, const std::string& thread);

/// The body of the response to a history request: the turns that ended, and the tokens that are spent, reserved and
/// allowed. `committed` are the records that a write quorum has; others must not be shown.
std::string history_json(const std::string& program, std::span<const Record> committed, uint64_t budget);

}  // namespace mosskeel
