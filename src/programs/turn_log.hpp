#pragma once
// Reconstruction of a program's turns from the records of its history.
#include <map>
#include <span>
#include <string>
#include <vector>

#include "messages/message.hpp"

namespace mosskeel {

/// The records under one key. Both pointers refer to the records that were passed in.
struct KeyedTurn {
  /// The newest reservation, or null.
  const Record* reservation = nullptr;
  /// The newest record; never null.
  const Record* latest = nullptr;

  /// Whether the turn is reserved and has no outcome yet.
  bool is_open() const { return latest->kind == RecordKind::reservation; }
  /// Whether the outcome says that the turn never ran, so that its key may be used again.
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

/// The body of the response to a history request: the completed turns, and the program's spent and reserved tokens and
/// its budget. `committed` are the records that a write quorum has; other records must not be exposed.
std::string history_json(const std::string& program, std::span<const Record> committed, uint64_t budget);

}  // namespace mosskeel
