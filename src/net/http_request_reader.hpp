#pragma once
// Parses requests from the bytes received on one connection.
#include "net/chunked_decoder.hpp"
#include "net/http_head.hpp"

namespace mosskeel {

/// Size limits of a request; `HttpListenerLimits` adds the limits of a connection.
struct HttpRequestLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4 << 20;
};

/// An incremental parser for a sequence of requests, including pipelined ones. It uses neither a socket nor a clock.
class HttpRequestReader {
 public:
  enum class Progress { incomplete, complete, rejected };
  /// Appends received bytes to the input.
  void append(std::string_view bytes) { received_ += bytes; }
  /// Continues parsing. After `complete`, the next call starts the next request; after `rejected`, it must not be
  /// called again.
  Progress read(const HttpRequestLimits& limits);
  /// Returns the completed request; to be called once for each.
  HttpRequest take_request() { return std::exchange(request_, {}); }
  /// The status to respond with after `rejected`.
  uint32_t rejection_status() const { return rejection_status_; }
  /// Discards all received bytes.
  void discard();

  /// Whether there are received bytes that are not part of a completed request.
  bool has_unread_bytes() const { return !received_.empty(); }
  bool in_body() const { return in_body_; }
  /// Bytes of the body that were received of the current request.
  size_t body_bytes() const { return request_.body.size(); }
  /// Whether the caller waits for "100 Continue" before sending the current body; returns true only once per request.
  bool take_expects_continue() { return std::exchange(expects_continue_, false); }
  /// Properties of the last accepted request head.
  bool http_1_0() const { return http_1_0_; }
  bool is_head_method() const { return is_head_method_; }
  bool closes_connection() const { return closes_connection_; }

 private:
  Progress reject(uint32_t status);
  Progress read_head(const HttpRequestLimits& limits);
  Progress read_body(const HttpRequestLimits& limits);
  Progress read_chunked_body(const HttpRequestLimits& limits);
  Progress read_sized_body();
  void begin_body(HttpHead head);
  void consume(size_t bytes);

  std::string received_;
  /// Offset up to which `received_` has been searched for the end of a head.
  size_t scanned_ = 0;
  bool in_body_ = false;
  bool expects_continue_ = false;
  bool http_1_0_ = false;
  bool is_head_method_ = false;
  bool closes_connection_ = false;
  bool chunked_ = false;
  /// Bytes of a body with a Content-Length that have not been read yet.
  uint64_t body_remaining_ = 0;
  ChunkedDecoder decoder_;
  HttpRequest request_;
  uint32_t rejection_status_ = 0;
};

}  // namespace mosskeel
