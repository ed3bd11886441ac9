#pragma once
// What the records of one program's history add up to: its turns and its token budget.
#include <unordered_map>

#include "messages/message.hpp"

namespace mosskeel {

/// Index of a program's turns, brought up to date record by record so that a turn does not walk the whole history.
/// Valid for one term: an owner that takes the history over starts a new one.
///
/// Owned by the turn coordinator and used on its thread; the records stay with the history writer.
class TurnIndex {
 public:
  struct Turn {
    /// Positions in the records, where there are such records.
    std::optional<size_t> reservation;
    std::optional<size_t> outcome;
    /// Status of the outcome: 200 complete, 0 not run, 502 unknown.
    uint32_t status = 0;
  };

  TurnIndex() = default;
  explicit TurnIndex(Epoch term) : term_(term) {}
  Epoch term() const { return term_; }
  /// How many records have been read.
  size_t length() const { return length_; }
  /// Reads the records that were appended since the last call.
  void update(const Records& records);
  /// The turn with this attempt id; nullptr where the history knows none.
  const Turn* find(const std::string& attempt) const;
  /// Tokens of turns with an outcome.
  uint64_t spent_tokens() const { return spent_tokens_; }
  /// Tokens reserved by turns without one.
  uint64_t reserved_tokens() const { return reserved_tokens_; }
  /// The text of the turns that lead to `attempt`, the oldest first, each with its input before its output.
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
