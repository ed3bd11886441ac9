#pragma once
// An event-driven HTTP/1.1 server for callers.
#include "net/event_loop.hpp"
#include "net/http_server_connection.hpp"

namespace mosskeel {

/// Listens at one address, reads complete requests and writes their responses, with one exchange at a time per
/// connection. Requests that are malformed, too large or too slow are rejected here, and their connection is closed.
///
/// All functions and callbacks run on the loop's thread. The listener must not be destroyed in a callback. After
/// `finish`, `send_response`, `abort` or `on_disconnected`, the exchange's id is invalid: it gets no more callbacks,
/// and calls with it do nothing.
class HttpListener final : private HttpConnectionOwner {
 public:
  struct Callbacks {
    /// A complete request has been read; `exchange` identifies it and its response.
    std::function<void(uint64_t exchange, HttpRequest&& request)> on_request;
    /// The caller closed or reset its connection before its response was complete.
    std::function<void(uint64_t exchange)> on_disconnected;
    /// The unsent bytes of a response fell below the low watermark after exceeding the high one.
    std::function<void(uint64_t exchange)> on_drained;
  };
  static constexpr size_t kLowWatermark = HttpResponseSender::kLowWatermark;
  static constexpr size_t kHighWatermark = HttpResponseSender::kHighWatermark;

  /// @param address a numeric address; port 0 lets the system choose a port.
  /// @param send_buffer size in bytes of each connection's kernel send buffer; 0 uses the system default.
  /// @return errors if listening at the address fails.
  static Result<std::unique_ptr<HttpListener>> open(EventLoop& loop, const Address& address, Callbacks callbacks,
                                                    int send_buffer = 0);
  ~HttpListener();
  /// Applies to requests and connections that begin from now on.
  void set_limits(const HttpListenerLimits& limits) { limits_ = limits; }
  /// Returns the listening address, including a port chosen by the system.
  Address local_address() const;

  /// Sends the response's head. Hop-by-hop fields are omitted.
  /// @param content_length if absent, the body is chunked.
  void send_head(uint64_t exchange, uint32_t status, const HeaderFields& fields,
                 std::optional<uint64_t> content_length);
  /// Sends bytes of the response's body. Exceeding its Content-Length resets the connection.
  void send_body(uint64_t exchange, std::string_view bytes);
  /// Completes the response. A body shorter than its Content-Length resets the connection.
  void finish(uint64_t exchange);
  /// Sends a complete response.
  void send_response(uint64_t exchange, uint32_t status, const HeaderFields& fields, std::string_view body);
  /// Resets the connection, so that the caller cannot mistake the response for a complete one.
  void abort(uint64_t exchange);
  /// Bytes of the response that have not been passed to the kernel yet.
  size_t unsent_bytes(uint64_t exchange) const;
  /// The same, summed up over all responses.
  size_t unsent_bytes() const;

  /// Sends `Connection: close` with each further response and closes its connection afterwards. The listener still
  /// accepts connections, and idle connections stay open for one more request, because their callers may already be
  /// sending one.
  void close_after_responses() { close_after_responses_ = true; }
  /// Stops listening permanently. Idle connections are closed without another read, so that a caller whose request
  /// crosses the close knows that it was not read. All other connections close after their response.
  void drain();
  size_t connections() const { return connections_.size(); }
  /// Bytes of the bodies of all requests that are being read or not answered yet.
  size_t body_bytes() const { return body_bytes_; }

 private:
  HttpListener(EventLoop& loop, Callbacks callbacks, Fd listening_socket);
  /// Starts accepting connections.
  void resume_accepting();
  /// Used when the process has run out of file descriptors: the listening socket stays readable, and the loop would
  /// spin on it.
  void pause_accepting();
  void accept_connections();
  void add_connection(Fd socket);
  /// Returns null if the exchange has ended.
  std::shared_ptr<HttpServerConnection> find(uint64_t exchange) const;
  void flush_scheduled();

  // HttpConnectionOwner
  const HttpListenerLimits& limits() const override { return limits_; }
  bool closes_after_responses() const override { return close_after_responses_; }
  bool draining() const override { return draining_; }
  std::vector<char>& read_buffer() override { return read_buffer_; }
  bool count_body_bytes(size_t counted, size_t bytes) override;
  uint64_t open_exchange(std::shared_ptr<HttpServerConnection> connection) override;
  void close_exchange(uint64_t exchange) override { exchanges_.erase(exchange); }
  void on_request(uint64_t exchange, HttpRequest&& request) override;
  void on_disconnected(uint64_t exchange) override;
  void on_drained(uint64_t exchange) override;
  void schedule_flush(std::shared_ptr<HttpServerConnection> connection) override;
  void on_closed(HttpServerConnection& connection) override { connections_.erase(&connection); }

  EventLoop& loop_;
  Callbacks callbacks_;
  Fd listening_socket_;
  HttpListenerLimits limits_;
  bool close_after_responses_ = false;
  bool draining_ = false;
  /// Of the requests that are being read or not answered yet.
  size_t body_bytes_ = 0;
  uint64_t last_exchange_ = 0;
  /// Connections of the exchanges whose response is not complete.
  std::unordered_map<uint64_t, std::shared_ptr<HttpServerConnection>> exchanges_;
  std::unordered_map<HttpServerConnection*, std::shared_ptr<HttpServerConnection>> connections_;
  /// Connections with unsent bytes; all are flushed at the end of the loop's iteration.
  std::vector<std::shared_ptr<HttpServerConnection>> scheduled_flushes_;
  bool flush_posted_ = false;
  /// Shared by all connections, because only one reads at a time.
  std::vector<char> read_buffer_;
  /// Lets functions that the loop still holds detect that this object was destroyed.
  std::shared_ptr<HttpListener*> self_;
};

}  // namespace mosskeel
