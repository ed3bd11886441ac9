#include "net/chunked_decoder.hpp"

#include <algorithm>

#include "net/http_fields.hpp"

namespace mosskeel {
namespace {

constexpr size_t kMaxChunkLineBytes = 1024;
constexpr size_t kMaxTrailerBytes = 8192;
/// A number with this many hexadecimal digits always fits into 64 bits.
constexpr size_t kMaxChunkSizeDigits = 15;

bool allowed_in_line(char character) {
  auto byte = static_cast<unsigned char>(character);
  return character == '\r' || character == '\t' || (byte >= 0x20 && byte != 0x7f);
}

}  // namespace

size_t ChunkedDecoder::decode(std::string_view encoded, std::string& body) {
  size_t consumed = 0;
  while (consumed < encoded.size() && !done() && !malformed()) {
    if (state_ == State::data) {
      auto size = std::min<uint64_t>(chunk_remaining_, encoded.size() - consumed);
      body.append(encoded.substr(consumed, size));
      consumed += size;
      chunk_remaining_ -= size;
      if (chunk_remaining_ == 0) {
        state_ = State::data_end;
      }
    } else if (append_to_line(encoded[consumed++])) {
      on_line();
    }
  }
  return consumed;
}

bool ChunkedDecoder::append_to_line(char character) {
  bool after_carriage_return = !line_.empty() && line_.back() == '\r';
  if (after_carriage_return && character == '\n') {
    line_.pop_back();
    return true;
  }
  bool data_beyond_chunk = state_ == State::data_end && character != '\r';
  bool too_long = line_.size() >= kMaxChunkLineBytes;
  if (after_carriage_return || !allowed_in_line(character) || too_long || data_beyond_chunk) {
    state_ = State::malformed;
  }
  line_ += character;
  return false;
}

void ChunkedDecoder::on_line() {
  if (state_ == State::size_line) {
    on_size_line();
  } else if (state_ == State::trailer) {
    on_trailer_line();
  } else {
    state_ = line_.empty() ? State::size_line : State::malformed;
  }
  line_.clear();
}

void ChunkedDecoder::on_size_line() {
  auto digits = std::min(line_.find(';'), line_.size());
  bool hexadecimal = line_.find_first_not_of("0123456789abcdefABCDEF") >= digits;
  if (digits == 0 || digits > kMaxChunkSizeDigits || !hexadecimal) {
    state_ = State::malformed;
    return;
  }
  chunk_remaining_ = std::stoull(line_.substr(0, digits), nullptr, 16);
  state_ = chunk_remaining_ ? State::data : State::trailer;
}

void ChunkedDecoder::on_trailer_line() {
  if (line_.empty()) {
    state_ = State::done;
    return;
  }
  trailer_bytes_ += line_.size();
  auto colon = line_.find(':');
  bool valid = colon != std::string::npos && is_valid_field({line_.substr(0, colon), line_.substr(colon + 1)});
  if (trailer_bytes_ > kMaxTrailerBytes || !valid) {
    state_ = State::malformed;
  }
}

}  // namespace mosskeel
