#pragma once
// Responses on their way to a caller's socket.
#include "net/http_response_writer.hpp"
#include "net/send_buffer.hpp"

namespace mosskeel {

/// Frames one response after the other and holds the bytes that the socket has not taken yet. Above the high watermark
/// its writer should pause, until `take_drained` says that the caller has caught up. The socket stays its owner's.
class HttpResponseSender {
 public:
  /// Bytes; 1,000 slow callers at the high one and a read more hold 64 MB, a quarter of a small machine's memory.
  static constexpr size_t kLowWatermark = 16 << 10;
  static constexpr size_t kHighWatermark = 48 << 10;

  /// Begins the response to another request; as in HttpResponseWriter.
  void begin(bool http_1_0, bool is_head_method);
  /// Tells a caller that waits for it to send its request's body.
  void write_continue() { buffer_.tail() += "HTTP/1.1 100 Continue\r\n\r\n"; }
  bool head_written() const { return writer_.head_written(); }
  void write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length, bool keep_alive);
  /// @return false where the body would exceed its Content-Length.
  bool write_body(std::string_view bytes);
  /// @return false where the response can't be complete: it has no head, or too short a body.
  bool write_end() { return writer_.write_end(buffer_.tail()); }

  enum class Progress { none, some, connection_lost };
  /// Hands the socket what it takes without blocking.
  Progress send_to(int socket);
  size_t unsent_bytes() const { return buffer_.unsent().size(); }
  /// Whether the unsent bytes fell below the low watermark after having been above the high one; true only once.
  bool take_drained();
  /// Drops what is unsent, and its memory.
  void release() { buffer_.release(); }

 private:
  HttpResponseWriter writer_;
  SendBuffer buffer_;
  bool above_high_watermark_ = false;
};

}  // namespace mosskeel
