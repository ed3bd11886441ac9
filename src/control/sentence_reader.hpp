#pragma once
// Reads a sentence word by word, and tells what was expected where it goes wrong.
#include "mosskeel/common.hpp"

namespace mosskeel::command_language {

/// Walks over the words of a sentence, which blanks separate. Each method either consumes the next word, or leaves it
/// and remembers what it expected there, for the error message.
class SentenceReader {
 public:
  explicit SentenceReader(const std::string& sentence);

  /// Consumes this keyword.
  bool accept(const std::string& keyword);
  /// Consumes any word; `description` names what is expected.
  std::optional<std::string> word(const std::string& description);
  /// Consumes a decimal number that fits into 64 bits.
  std::optional<uint64_t> number(const std::string& description);
  std::optional<DaemonId> daemon_id();
  bool at_end();

  /// The position of the word that could not be consumed, and all that was expected there.
  Errors error() const;

 private:
  struct Word {
    std::string text;
    /// Counted from 1.
    size_t position{};
  };

  static std::vector<Word> split(const std::string& sentence);
  bool exhausted() const { return next_ == words_.size(); }
  void expect(std::string description);
  std::string join_expectations() const;

  std::vector<Word> words_;
  /// The index of the next word to consume.
  size_t next_ = 0;
  /// One past the last character, counted from 1.
  size_t end_position_{};
  /// All that would have been accepted at the word `expected_at_`.
  std::vector<std::string> expectations_;
  size_t expected_at_ = 0;
};

}  // namespace mosskeel::command_language
