#pragma once
// Index of the turns and token usage in the records of one program's history.
#include <unordered_map>

#include "messages/message.hpp"

namespace mosskeel {

/// Index of a program's turns, updated incrementally so that a turn does not need to scan the whole history. Valid for
/// one term: an owner that takes over the history starts a new index.
///
/// Owned by the turn coordinator and used only on its thread; the records are owned by the history writer.
class TurnIndex {
 public:
  struct Turn {
    /// Positions of the turn's records, if they exist.
    std::optional<size_t> reservation;
    std::optional<size_t> outcome;
    /// Status of the outcome: 200 complete, 0 not run, 502 unknown.
    uint32_t status = 0;
  };

  TurnIndex() = default;
  explicit TurnIndex(Epoch term) : term_(term) {}
  Epoch term() const { return term_; }
  /// Number of indexed records.
  size_t length() const { return length_; }
  /// Indexes the records that were appended since the last call.
  void update(const Records& records);
  /// The turn with this attempt id; nullptr if the history has none.
  const Turn* find(const std::string& attempt) const;
  /// Tokens charged by all outcomes.
  uint64_t spent_tokens() const { return spent_tokens_; }
  /// Tokens reserved by turns without an outcome.
  uint64_t reserved_tokens() const { return reserved_tokens_; }
  /// The text of the chain of turns up to and including `attempt`, oldest first, each with its input before its output.
  std::string chain_text(const Records& records, const std::string& attempt) const;

 private:
  std::vector<const Turn*> chain(const Records& records, const std::string& attempt) const;

  Epoch term_{};
  size_t length_ = 0;
  uint64_t spent_tokens_ = 0;
  uint64_t reserved_tokens_ = 0;
  std::unordered_map<std::string, Turn> turns_;
};

}  // namespace mosskeel
