#pragma once
// Requests out of the bytes that a caller sends on one connection.
#include "net/chunked_decoder.hpp"
#include "net/http_head.hpp"

namespace mosskeel {

/// Limits that requests are read under; the others of `HttpListenerLimits` are the connection's.
struct HttpRequestLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4 << 20;
};

/// Reads one request after the other, pipelined ones too. It has no socket and no clock.
class HttpRequestReader {
 public:
  enum class Progress { incomplete, complete, rejected };
  /// Takes bytes as they were received.
  void append(std::string_view bytes) { received_ += bytes; }
  /// Reads on. After `complete` the next call begins the next request; after `rejected` nothing more may be read.
  Progress read(const HttpRequestLimits& limits);
  /// The request that is complete; to be taken once.
  HttpRequest take_request() { return std::exchange(request_, {}); }
  /// The status to respond with after `rejected`.
  uint32_t rejection_status() const { return rejection_status_; }
  /// Drops everything that was received.
  void discard();

  /// Whether bytes are there that belong to no complete request.
  bool has_unread_bytes() const { return !received_.empty(); }
  bool in_body() const { return in_body_; }
  /// Whether the caller waits for "100 Continue" before it sends the body that is being read; true only once.
  bool take_expects_continue() { return std::exchange(expects_continue_, false); }
  /// What the last head that was accepted says.
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
  /// How far `received_` has been searched for the end of a head.
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
