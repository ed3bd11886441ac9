#pragma once
// The chunked transfer coding (RFC 9112, section 7.1), parsed strictly.
#include <cstdint>
#include <string>
#include <string_view>

namespace mosskeel {

/// Incremental decoder for one chunked body. Chunk extensions are ignored; trailer fields are validated and discarded.
/// Once `done()` or `malformed()` is true, no more input is consumed.
class ChunkedDecoder {
 public:
  /// Decodes from `encoded` and appends the body's bytes to `body`.
  /// @return the number of bytes of `encoded` that were consumed; less than its size only at the end of the body or on
  /// an error.
  size_t decode(std::string_view encoded, std::string& body);
  /// Whether the last chunk and the trailer section have been read.
  bool done() const { return state_ == State::done; }
  bool malformed() const { return state_ == State::malformed; }

 private:
  enum class State { size_line, data, data_end, trailer, done, malformed };
  /// Appends one byte to the current line. Returns true once the line is complete; its CRLF is removed.
  bool append_to_line(char character);
  void on_line();
  void on_size_line();
  void on_trailer_line();

  State state_ = State::size_line;
  /// Bytes of the current chunk that have not been received yet.
  uint64_t chunk_remaining_ = 0;
  size_t trailer_bytes_ = 0;
  std::string line_;
};

}  // namespace mosskeel
