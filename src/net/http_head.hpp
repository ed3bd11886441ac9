#pragma once
// HTTP/1.1 heads and chunked bodies, read strictly: what two readers might frame differently is refused.
#include <string_view>

#include "net/protocol_codec.hpp"

namespace mosskeel {

enum class HeadScan { incomplete, complete, malformed };

/// Whether `in` holds a whole head; `scanned` is where the last look ended, and behind the empty line once whole.
HeadScan scan_head(std::string_view in, size_t& scanned);

/// A head and how the body behind it is framed.
struct HttpHead {
  std::string method, target;
  uint32_t status = 0;
  bool http_1_0 = false, chunked = false, close = false;
  std::optional<uint64_t> content_length;
  HeaderFields fields;
  /// The status to refuse a request with; 0 where nothing is wrong. `reason` says what is.
  uint32_t fault = 0;
  std::string reason;
};
/// From a whole head with its empty line.
HttpHead parse_request_head(std::string_view head);
HttpHead parse_response_head(std::string_view head);

/// The host of a Host field, lower-cased and without port; nothing where it is malformed.
std::optional<std::string> host_of(std::string_view value);

/// Whether the field's comma-separated lists name the token, in any case.
bool names_token(const HeaderFields& f, std::string_view name, std::string_view token);

/// The fields without those that belong to one connection, and without Content-Length.
HeaderFields end_to_end(const HeaderFields& f);

/// Whether name and value can be written without changing the framing.
bool writable(const std::pair<std::string, std::string>& field);

/// Undoes the chunked coding.
class Chunks {
 public:
  /// Reads from `s`, adds the body's bytes to `out`, and returns how much it took.
  size_t feed(std::string_view s, std::string& out);
  bool done() const { return state_ == State::done; }
  bool malformed() const { return state_ == State::malformed; }

 private:
  enum class State { size, data, data_end, trailer, done, malformed };
  bool line(char c);
  void size_line();
  void trailer_line();
  State state_ = State::size;
  uint64_t left_ = 0;
  size_t trailer_bytes_ = 0;
  std::string line_;
};

bool same_word(std::string_view a, std::string_view b);

}  // namespace mosskeel
