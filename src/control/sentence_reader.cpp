#include "control/sentence_reader.hpp"

#include <algorithm>
#include <cctype>

#include "control/constants.hpp"

namespace mosskeel::command_language {
namespace {

bool is_space(unsigned char character) {
  return std::isspace(character) != 0;
}

bool is_number(const std::string& text) {
  return text.size() <= kMaxDecimalDigits && text.find_first_not_of("0123456789") == std::string::npos;
}

}  // namespace

SentenceReader::SentenceReader(const std::string& sentence)
    : words_(split(sentence)), end_position_(sentence.size() + 1) {}

std::vector<SentenceReader::Word> SentenceReader::split(const std::string& sentence) {
  std::vector<Word> words;
  auto begin = std::find_if_not(sentence.begin(), sentence.end(), is_space);
  while (begin != sentence.end()) {
    auto end = std::find_if(begin, sentence.end(), is_space);
    words.push_back({std::string(begin, end), static_cast<size_t>(begin - sentence.begin()) + 1});
    begin = std::find_if_not(end, sentence.end(), is_space);
  }
  return words;
}

bool SentenceReader::accept(const std::string& keyword) {
  if (!exhausted() && words_[next_].text == keyword) {
    ++next_;
    return true;
  }
  expect("'" + keyword + "'");
  return false;
}

std::optional<std::string> SentenceReader::word(const std::string& description) {
  if (exhausted()) {
    expect(description);
    return std::nullopt;
  }
  return words_[next_++].text;
}

std::optional<uint64_t> SentenceReader::number(const std::string& description) {
  if (exhausted() || !is_number(words_[next_].text)) {
    expect(description);
    return std::nullopt;
  }
  return std::stoull(words_[next_++].text);
}

std::optional<DaemonId> SentenceReader::daemon_id() {
  auto id = number("a daemon's number");
  if (!id)
    return std::nullopt;
  return DaemonId{*id};
}

bool SentenceReader::at_end() {
  if (exhausted())
    return true;
  expect("the end of the sentence");
  return false;
}

Errors SentenceReader::error() const {
  auto position = exhausted() ? end_position_ : words_[next_].position;
  auto found = exhausted() ? ", found the end" : ", found '" + words_[next_].text + "'";
  return {{"position " + std::to_string(position), "expected " + join_expectations() + found}};
}

void SentenceReader::expect(std::string description) {
  if (expected_at_ != next_)
    expectations_.clear();
  expected_at_ = next_;
  if (std::find(expectations_.begin(), expectations_.end(), description) == expectations_.end())
    expectations_.push_back(std::move(description));
}

std::string SentenceReader::join_expectations() const {
  std::string joined;
  for (size_t i = 0; i < expectations_.size(); ++i) {
    bool last = i + 1 == expectations_.size();
    if (i > 0)
      joined += last ? " or " : ", ";
    joined += expectations_[i];
  }
  return joined;
}

}  // namespace mosskeel::command_language
