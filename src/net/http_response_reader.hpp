#pragma once
// Responses out of the bytes that a replica sends on one connection.
#include "net/chunked_decoder.hpp"
#include "net/http_head.hpp"

namespace mosskeel {

/// Reads one response after the other; interim ones (1xx) are skipped. It has no socket and no clock.
class HttpResponseReader {
 public:
  enum class Progress {
    /// More bytes are needed.
    incomplete,
    /// A head has been read: `take_head` gives it, `read` goes on with the body.
    head,
    /// Bytes of the body have been read: `take_body` gives them and must be called before the next `read`.
    body,
    /// The response is complete by its own framing. A body that lasts until the close is by `completed_by_close`.
    complete,
    malformed
  };
  /// Begins to read the response to another request.
  /// @param to_head_method it has no body, whatever its head says.
  void begin(bool to_head_method);
  void append(std::string_view bytes) { received_ += bytes; }
  /// Reads on, one step at a time.
  Progress read();
  /// The replica closed its direction in order, and all that it sent before was read: whether this completes the
  /// response under way. Only one without a length and a chunked coding may end so (RFC 9112, section 6.3).
  bool completed_by_close();
  HttpHead take_head() { return std::move(head_); }
  std::string take_body() { return std::exchange(body_, {}); }
  /// What is wrong after `malformed`.
  const std::string& error() const { return error_; }
  /// Whether bytes are there that belong to no response that was read.
  bool has_unread_bytes() const { return !received_.empty(); }
  /// Drops everything that was received.
  void discard();

 private:
  Progress fail(std::string error);
  Progress read_head();
  Progress read_body();
  /// Moves the body's bytes that have been received to `body_`.
  void read_sized_body();

  std::string received_;
  /// How far `received_` has been searched for the end of a head.
  size_t scanned_ = 0;
  bool to_head_method_ = false;
  bool in_body_ = false;
  bool without_body_ = false;
  bool chunked_ = false;
  /// Bytes of the body that are still to come; without a value it lasts until the connection is closed.
  std::optional<uint64_t> body_remaining_;
  ChunkedDecoder decoder_;
  HttpHead head_;
  std::string body_;
  std::string error_;
};

}  // namespace mosskeel
