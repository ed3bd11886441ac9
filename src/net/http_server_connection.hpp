#pragma once
// A server-side HTTP/1.1 connection of HttpListener.
#include "base/fd.hpp"
#include "net/deadline_timer.hpp"
#include "net/http_request_reader.hpp"
#include "net/http_response_sender.hpp"

namespace mosskeel {

class HttpServerConnection;

/// Limits of a listener's connections. A timeout of 0 means no limit.
struct HttpListenerLimits : HttpRequestLimits {
  /// Time from the first byte of a head to its last.
  Duration head_timeout = 3000ms;
  /// Time between two requests, between two received pieces of a body, and between two pieces of a response that the
  /// caller receives.
  Duration idle_timeout = 15000ms;
  size_t max_connections = 2000;
  /// Of the bodies of all requests that are being read or not answered yet; a request beyond it gets 503.
  size_t max_total_body_bytes = SIZE_MAX;
};

/// The interface that a connection uses to call its listener. All functions are called on the loop's thread.
class HttpConnectionOwner {
 public:
  virtual const HttpListenerLimits& limits() const = 0;
  /// Whether a response whose head is sent now must be the last one on its connection.
  virtual bool closes_after_responses() const = 0;
  /// Whether connections must close instead of waiting for another request.
  virtual bool draining() const = 0;
  /// A buffer to receive into; its content is valid only until the connection returns to the event loop.
  virtual std::vector<char>& read_buffer() = 0;
  /// Replaces the bytes that one request's body is counted with.
  /// @return false if all bodies together exceed the limit; the bytes are counted all the same.
  [[nodiscard]] virtual bool count_body_bytes(size_t counted, size_t bytes) = 0;
  /// @return the id of a new exchange, which must be closed with `close_exchange`.
  virtual uint64_t open_exchange(std::shared_ptr<HttpServerConnection> connection) = 0;
  virtual void close_exchange(uint64_t exchange) = 0;
  /// A complete request has been read. The response may be sent from within this call.
  virtual void on_request(uint64_t exchange, HttpRequest&& request) = 0;
  /// The caller disconnected before its response was complete; the exchange is already closed.
  virtual void on_disconnected(uint64_t exchange) = 0;
  /// The unsent bytes fell below the low watermark after exceeding the high one.
  virtual void on_drained(uint64_t exchange) = 0;
  /// Requests a call of `flush_now` at the end of the loop's iteration.
  virtual void schedule_flush(std::shared_ptr<HttpServerConnection> connection) = 0;
  virtual void on_closed(HttpServerConnection& connection) = 0;

 protected:
  ~HttpConnectionOwner() = default;
};

/// Reads requests and writes their responses, one after another. The owner holds a shared pointer to it until
/// `on_closed`; a closed connection does nothing.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(EventLoop& loop, HttpConnectionOwner& owner, Fd socket);
  /// Starts reading; must be called once.
  void start();

  // These send the response of the open exchange; see HttpListener.
  void send_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length);
  void send_body(std::string_view bytes);
  void finish_response();
  size_t unsent_bytes() const { return sender_.unsent_bytes(); }

  /// Performs the scheduled flush.
  void flush_now();
  /// Closes gracefully if no byte of another request has been received.
  void close_if_idle();
  void close();
  /// Closes with a TCP reset.
  void reset();

 private:
  enum class Phase {
    /// Waiting for a request or reading one.
    reading,
    /// The owner has received the request; the exchange is open.
    responding,
    /// The response is complete, but not fully sent.
    finishing,
    /// The write side is shut down; further input is read and discarded, because a close with unread bytes would send a
    /// reset, which may make the caller lose the response.
    lingering,
    /// The write side is shut down and nothing is read, so that no further input counts as accepted.
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
  /// Counts the body of the current request. Returns false if all bodies together exceed the limit.
  bool count_body(size_t bytes);
  void flush();
  void on_response_sent();
  void linger();
  void linger_unread();
  void shut_down(Phase phase);
  /// Closes the connection and notifies the owner if an exchange was open.
  void disconnect();
  void schedule_flush();
  void update_watched_events();

  EventLoop& loop_;
  HttpConnectionOwner& owner_;
  Fd socket_;
  Phase phase_ = Phase::reading;
  uint32_t watched_events_ = 0;
  DeadlineTimer deadline_;
  /// Id of the open exchange; 0 if there is none.
  uint64_t exchange_ = 0;
  HttpRequestReader reader_;
  /// Bytes that the current request's body is counted with, until its response is complete.
  size_t counted_body_bytes_ = 0;
  /// Whether `deadline_` is set to the timeout of the current request head.
  bool head_deadline_set_ = false;
  HttpResponseSender sender_;
  /// Whether the connection stays open after the response.
  bool keep_alive_ = true;
  bool flush_scheduled_ = false;
};

}  // namespace mosskeel
