#include "net/http_head.hpp"

#include <algorithm>

namespace mosskeel {
namespace {
constexpr size_t longest_chunk_line = 1024, most_trailer_bytes = 8192;
}

size_t Chunks::feed(std::string_view s, std::string& out) {
  size_t at = 0;
  while (at < s.size() && !done() && !malformed()) {
    if (state_ == State::data) {
      auto n = std::min<uint64_t>(left_, s.size() - at);
      out.append(s.substr(at, n));
      at += n, left_ -= n;
      if (left_ == 0)
        state_ = State::data_end;
    } else if (line(s[at++])) {
      if (state_ == State::size)
        size_line();
      else if (state_ == State::trailer)
        trailer_line();
      else
        state_ = line_.empty() ? State::size : State::malformed;
      line_.clear();
    }
  }
  return at;
}

bool Chunks::line(char c) {
  bool after_cr = !line_.empty() && line_.back() == '\r';
  if (after_cr && c == '\n')
    return line_.pop_back(), true;
  auto u = static_cast<unsigned char>(c);
  bool text = c == '\r' || c == '\t' || (u >= 0x20 && u != 0x7f);
  if (after_cr || !text || line_.size() >= longest_chunk_line || (state_ == State::data_end && c != '\r'))
    state_ = State::malformed;
  line_ += c;
  return false;
}

void Chunks::size_line() {
  auto digits = std::min(line_.find(';'), line_.size());
  state_ = State::malformed;
  if (digits == 0 || digits > 15 || line_.find_first_not_of("0123456789abcdefABCDEF") < digits)
    return;
  left_ = std::stoull(line_.substr(0, digits), nullptr, 16);
  state_ = left_ ? State::data : State::trailer;
}

void Chunks::trailer_line() {
  trailer_bytes_ += line_.size();
  auto colon = line_.find(':');
  if (line_.empty())
    state_ = State::done;
  else if (trailer_bytes_ > most_trailer_bytes || colon == std::string::npos ||
           !writable({line_.substr(0, colon), line_.substr(colon + 1)}))
    state_ = State::malformed;
}

}  // namespace mosskeel
