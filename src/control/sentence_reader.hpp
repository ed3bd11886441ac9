#pragma once
// Tokenizer for sentences of the command language, which reports what was expected at the position of an error.
#include "mosskeel/common.hpp"

namespace mosskeel::command_language {

/// Reads the words of a sentence, which are separated by white space. Each method either consumes the next word, or
/// leaves it and records what was expected instead, for the error message.
class SentenceReader {
 public:
  explicit SentenceReader(const std::string& sentence);

  /// Consumes the next word if it is this keyword.
  bool accept(const std::string& keyword);
  /// Consumes any word. `description` names the expected word in error messages.
  std::optional<std::string> word(const std::string& description);
  /// Consumes a decimal number that fits in 64 bits.
  std::optional<uint64_t> number(const std::string& description);
  std::optional<DaemonId> daemon_id();
  bool at_end();

  /// Returns the position of the word that could not be consumed, and everything that was expected there.
  Errors error() const;

 private:
  struct Word {
    std::string text;
    /// Position in the sentence, counted from 1.
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
  /// Everything that would have been accepted at the word with index `expected_at_`.
  std::vector<std::string> expectations_;
  size_t expected_at_ = 0;
};

}  // namespace mosskeel::command_language
