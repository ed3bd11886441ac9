#pragma once
// Parses responses from the bytes received on one connection to a replica.
#include "net/chunked_decoder.hpp"
#include "net/http_head.hpp"

namespace mosskeel {

/// An incremental parser for a sequence of responses; interim responses (1xx) are skipped. It uses neither a socket nor
/// a clock.
class HttpResponseReader {
 public:
  enum class Progress {
    /// More bytes are needed.
    incomplete,
    /// A head has been read: `take_head` returns it, and `read` continues with the body.
    head,
    /// Bytes of the body have been read: `take_body` returns them and must be called before the next `read`.
    body,
    /// The response is complete by its own framing. For a body that is delimited by the close, see
    /// `completed_by_close`.
    complete,
    malformed
  };
  /// Starts reading the response to the next request.
  /// @param to_head_method the request is a HEAD, so its response has no body, whatever the head says.
  void begin(bool to_head_method);
  void append(std::string_view bytes) { received_ += bytes; }
  /// Continues parsing by one step.
  Progress read();
  /// To be called when the replica has closed its side of the connection in an orderly way and everything before that
  /// was read. Returns whether this completes the current response, which is so only if it has neither a length nor a
  /// chunked coding (RFC 9112, section 6.3).
  bool completed_by_close();
  HttpHead take_head() { return std::move(head_); }
  std::string take_body() { return std::exchange(body_, {}); }
  /// The error after `malformed`.
  const std::string& error() const { return error_; }
  /// Whether there are received bytes that are not part of a response that was read.
  bool has_unread_bytes() const { return !received_.empty(); }
  /// Discards all received bytes.
  void discard();

 private:
  Progress fail(std::string error);
  Progress read_head();
  Progress read_body();
  /// Moves the received bytes of the body to `body_`.
  void read_sized_body();

  std::string received_;
  /// Offset up to which `received_` has been searched for the end of a head.
  size_t scanned_ = 0;
  /// Bytes of the interim responses before the current response.
  size_t interim_bytes_ = 0;
  size_t interim_responses_ = 0;
  bool to_head_method_ = false;
  bool in_body_ = false;
  bool without_body_ = false;
  bool chunked_ = false;
  /// Remaining bytes of the body; no value if the body lasts until the connection is closed.
  std::optional<uint64_t> body_remaining_;
  ChunkedDecoder decoder_;
  HttpHead head_;
  std::string body_;
  std::string error_;
};

}  // namespace mosskeel
