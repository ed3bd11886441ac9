#pragma once
// Sends responses to a caller's socket.
#include "net/http_response_writer.hpp"
#include "net/send_buffer.hpp"

namespace mosskeel {

/// Serializes responses one after another and buffers the bytes that the socket has not accepted yet. Above the high
/// watermark, the producer should pause until `take_drained` returns true. Does not own the socket.
class HttpResponseSender {
 public:
  /// In bytes. 1,000 slow callers, each at the high watermark plus one read, use 64 MB, a quarter of a small machine's
  /// memory.
  static constexpr size_t kLowWatermark = 16 << 10;
  static constexpr size_t kHighWatermark = 48 << 10;

  /// Starts the response to the next request; see HttpResponseWriter::begin.
  void begin(bool http_1_0, bool is_head_method);
  /// Asks a caller that waits for it to send the request's body.
  void write_continue() { buffer_.tail() += "HTTP/1.1 100 Continue\r\n\r\n"; }
  bool head_written() const { return writer_.head_written(); }
  void write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length, bool keep_alive);
  /// @return false if the body would exceed its Content-Length.
  bool write_body(std::string_view bytes);
  /// @return false if the response is incomplete: its head is missing or its body is too short.
  bool write_end() { return writer_.write_end(buffer_.tail()); }

  enum class Progress { none, some, connection_lost };
  /// Sends as many bytes as the socket accepts without blocking.
  Progress send_to(int socket);
  size_t unsent_bytes() const { return buffer_.unsent().size(); }
  /// Whether the unsent bytes fell below the low watermark after exceeding the high one; returns true only once each
  /// time.
  bool take_drained();
  /// Discards the unsent bytes and frees their memory.
  void release() { buffer_.release(); }

 private:
  HttpResponseWriter writer_;
  SendBuffer buffer_;
  bool above_high_watermark_ = false;
};

}  // namespace mosskeel
