#pragma once
// The chunked transfer coding (RFC 9112, section 7.1), read strictly.
#include <cstdint>
#include <string>
#include <string_view>

namespace mosskeel {

/// Decodes one chunked body that arrives in pieces of any size. Chunk extensions are skipped, trailers are checked and
/// dropped. After `done()` or `malformed()` it takes nothing more.
class ChunkedDecoder {
 public:
  /// Decodes from `encoded` and appends the body's bytes to `body`.
  /// @return how many bytes of `encoded` were consumed; fewer than given only at the end of the body or at an error.
  size_t decode(std::string_view encoded, std::string& body);
  /// The last chunk and its trailers have been read.
  bool done() const { return state_ == State::done; }
  bool malformed() const { return state_ == State::malformed; }

 private:
  enum class State { size_line, data, data_end, trailer, done, malformed };
  /// Appends one byte to the line being read; true once the line is complete, without its end.
  bool append_to_line(char character);
  void on_line();
  void on_size_line();
  void on_trailer_line();

  State state_ = State::size_line;
  /// Bytes of the current chunk that have not arrived yet.
  uint64_t chunk_remaining_ = 0;
  size_t trailer_bytes_ = 0;
  std::string line_;
};

}  // namespace mosskeel
