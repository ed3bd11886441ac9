#pragma once
// One caller's connection to an HttpListener.
#include "base/fd.hpp"
#include "net/deadline_timer.hpp"
#include "net/http_request_reader.hpp"
#include "net/http_response_sender.hpp"

namespace mosskeel {

class HttpServerConnection;

/// A time of 0 stands for no limit.
struct HttpListenerLimits : HttpRequestLimits {
  /// From the first byte of a head to its last.
  Duration head_timeout = 3000ms;
  /// Between two requests, and between two pieces of a body or of a response that its caller takes.
  Duration idle_timeout = 15000ms;
  size_t max_connections = 2000;
};

/// What a connection needs of its listener. All of it is called on the loop's thread.
class HttpConnectionOwner {
 public:
  virtual const HttpListenerLimits& limits() const = 0;
  /// Whether a response whose head is sent now must be the last of its connection.
  virtual bool closes_after_responses() const = 0;
  /// Whether connections are to close instead of waiting for another request.
  virtual bool draining() const = 0;
  /// Where a connection may receive bytes to; the content is its own only until it returns.
  virtual std::vector<char>& read_buffer() = 0;
  /// @return the id of a new exchange, which must be closed again.
  virtual uint64_t open_exchange(std::shared_ptr<HttpServerConnection> connection) = 0;
  virtual void close_exchange(uint64_t exchange) = 0;
  /// A complete request has been read. The response may be sent from within.
  virtual void on_request(uint64_t exchange, HttpRequest&& request) = 0;
  /// The caller is gone before its response was complete; the exchange is closed already.
  virtual void on_disconnected(uint64_t exchange) = 0;
  /// The unsent bytes fell below the low watermark after having been above the high one.
  virtual void on_drained(uint64_t exchange) = 0;
  /// Asks for a call of `flush_now` at the end of the loop's iteration.
  virtual void schedule_flush(std::shared_ptr<HttpServerConnection> connection) = 0;
  virtual void on_closed(HttpServerConnection& connection) = 0;

 protected:
  ~HttpConnectionOwner() = default;
};

/// Reads requests and writes their responses, one after the other. Its owner holds it by a shared pointer until
/// `on_closed`; a connection that is closed does nothing more.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(EventLoop& loop, HttpConnectionOwner& owner, Fd socket);
  /// Begins to read; to be called once.
  void start();

  // The response of the exchange that is open; as in HttpListener.
  void send_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length);
  void send_body(std::string_view bytes);
  void finish_response();
  size_t unsent_bytes() const { return sender_.unsent_bytes(); }

  /// The flush that was scheduled.
  void flush_now();
  /// Closes gracefully where no byte of a further request has arrived.
  void close_if_idle();
  void close();
  /// Closes with a reset.
  void reset();

 private:
  enum class Phase {
    /// Waits for a request or reads one.
    reading,
    /// The owner has the request, the exchange is open.
    responding,
    /// The response is complete, but not all of it sent.
    finishing,
    /// Has shut down its own direction, and reads what still comes in order to drop it: a close with unread bytes would
    /// send a reset, which may cost the caller the response.
    lingering,
    /// Has shut down its own direction and does not read: nothing that the caller sends may count as taken.
    lingering_unread,
    closed
  };
  void on_ready(uint32_t events);
  void on_deadline();
  void receive();
  void read_request();
  void on_incomplete_request();
  void begin_exchange();
  void reject_request(uint32_t status);
  void flush();
  void on_response_sent();
  void linger();
  void linger_unread();
  void shut_down(Phase phase);
  /// Closes, and tells the owner if an exchange was open.
  void disconnect();
  void schedule_flush();
  void update_watched_events();

  EventLoop& loop_;
  HttpConnectionOwner& owner_;
  Fd socket_;
  Phase phase_ = Phase::reading;
  uint32_t watched_events_ = 0;
  DeadlineTimer deadline_;
  /// The exchange that is open, 0 where none is.
  uint64_t exchange_ = 0;
  HttpRequestReader reader_;
  /// Whether the deadline is that of the head which is being read.
  bool head_deadline_set_ = false;
  HttpResponseSender sender_;
  /// Whether the connection stays open after the response.
  bool keep_alive_ = true;
  bool flush_scheduled_ = false;
};

}  // namespace mosskeel
