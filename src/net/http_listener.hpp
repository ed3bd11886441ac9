#pragma once
// An HTTP/1.1 server on an event loop, towards callers.
#include "net/event_loop.hpp"
#include "net/http_server_connection.hpp"

namespace mosskeel {

/// Listens at one address, reads complete requests and writes their responses, one exchange at a time on a connection.
/// Malformed, too large and too slow requests are rejected here and their connection is closed.
///
/// Everything, callbacks too, happens on the loop's thread. It must not be destroyed in a callback. After `finish`,
/// `send_response`, `abort` or `on_disconnected` the id of an exchange is no longer valid: it has no more callbacks,
/// and calls with it do nothing.
class HttpListener final : private HttpConnectionOwner {
 public:
  struct Callbacks {
    /// A complete request has been read; `exchange` names it and its response.
    std::function<void(uint64_t exchange, HttpRequest&& request)> on_request;
    /// The caller closed or reset its connection before its response was complete.
    std::function<void(uint64_t exchange)> on_disconnected;
    /// The unsent bytes of a response fell below the low watermark after having been above the high one.
    std::function<void(uint64_t exchange)> on_drained;
  };
  static constexpr size_t kLowWatermark = HttpResponseSender::kLowWatermark;
  static constexpr size_t kHighWatermark = HttpResponseSender::kHighWatermark;

  /// @param address numeric; port 0 lets the system choose one.
  /// @param send_buffer size of the kernel's send buffer of each connection in bytes; 0 leaves it to the system.
  /// @return errors where the address can't be listened on.
  static Result<std::unique_ptr<HttpListener>> open(EventLoop& loop, const Address& address, Callbacks callbacks,
                                                    int send_buffer = 0);
  ~HttpListener();
  /// For everything that begins from now on.
  void set_limits(const HttpListenerLimits& limits) { limits_ = limits; }
  /// The address listened on, with the port that the system chose where none was named.
  Address local_address() const;

  /// Sends the response's head. Hop-by-hop fields are dropped.
  /// @param content_length without one the body is chunked.
  void send_head(uint64_t exchange, uint32_t status, const HeaderFields& fields,
                 std::optional<uint64_t> content_length);
  /// Sends bytes of the response's body; ones beyond its Content-Length reset the connection.
  void send_body(uint64_t exchange, std::string_view bytes);
  /// The response is complete; one that is shorter than its Content-Length resets the connection.
  void finish(uint64_t exchange);
  /// Head, body and end at once.
  void send_response(uint64_t exchange, uint32_t status, const HeaderFields& fields, std::string_view body);
  /// Resets the connection, so that its caller can't take the response for complete.
  void abort(uint64_t exchange);
  /// Bytes of the response that the kernel has not taken yet.
  size_t unsent_bytes(uint64_t exchange) const;

  /// Every response from now on is the last of its connection and says so. Listening goes on, and idle connections stay
  /// open for one more request, for their callers may be sending one.
  void close_after_responses() { close_after_responses_ = true; }
  /// Ends listening for good. Idle connections are closed without being read again, so that the caller of a request
  /// which crosses the close knows that it was not read. All others end with their response.
  void drain();
  size_t connections() const { return connections_.size(); }

 private:
  HttpListener(EventLoop& loop, Callbacks callbacks, Fd listening_socket);
  /// Watches the listening socket.
  void resume_accepting();
  /// After the process ran out of descriptors: the backlog stays readable, and the loop would spin on it.
  void pause_accepting();
  void accept_connections();
  void add_connection(Fd socket);
  /// Nothing where the exchange is over.
  std::shared_ptr<HttpServerConnection> find(uint64_t exchange) const;
  void flush_scheduled();

  // HttpConnectionOwner
  const HttpListenerLimits& limits() const override { return limits_; }
  bool closes_after_responses() const override { return close_after_responses_; }
  bool draining() const override { return draining_; }
  std::vector<char>& read_buffer() override { return read_buffer_; }
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
  uint64_t last_exchange_ = 0;
  /// Requests whose response is not complete, with their connections.
  std::unordered_map<uint64_t, std::shared_ptr<HttpServerConnection>> exchanges_;
  std::unordered_map<HttpServerConnection*, std::shared_ptr<HttpServerConnection>> connections_;
  /// Connections with something to send: they are flushed together, at the end of the loop's iteration.
  std::vector<std::shared_ptr<HttpServerConnection>> scheduled_flushes_;
  bool flush_posted_ = false;
  /// Shared by all connections, for only one reads at a time.
  std::vector<char> read_buffer_;
  /// Lets functions that the loop still holds find out that this object is gone.
  std::shared_ptr<HttpListener*> self_;
};

}  // namespace mosskeel
