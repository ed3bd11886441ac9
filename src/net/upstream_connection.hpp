#pragma once
// A client-side HTTP/1.1 connection to a replica.
#include <vector>

#include "base/fd.hpp"
#include "net/event_loop.hpp"
#include "net/http_response_reader.hpp"

namespace mosskeel {

class UpstreamConnection;

/// Whether a failed request may have run: `not_sent` means that no byte of it can have reached the replica.
enum class UpstreamDelivery { not_sent, possibly_sent };

/// A request for UpstreamClient. The fields are sent unchanged, except framing fields, which the client generates.
struct UpstreamRequest {
  Address address;
  std::string method, target;
  HeaderFields fields;
  std::string body;
  /// Never reuse a pooled connection.
  bool new_connection = false;
  Duration connect_timeout = 1000ms;
  /// Maximum idle time of a reused connection: a replica may have dropped a longer idle one silently.
  Duration max_idle = Duration::max();
  /// The sender's label of the request, reported as `UpstreamResponseHead::previous_tag` with the next response on the
  /// connection.
  std::string tag;
};

struct UpstreamResponseHead {
  uint32_t status = 0;
  HeaderFields fields;
  bool chunked = false;
  std::optional<uint64_t> content_length;
  /// The tag of the previous request on this connection; empty on a new connection.
  std::string previous_tag;

  /// Whether the body is delimited only by the end of the connection.
  bool lasts_until_close() const { return !chunked && !content_length; }
};

/// The interface that a connection uses to call its client. All functions are called on the loop's thread, and never
/// from within `send_request` or `connect`.
class UpstreamConnectionOwner {
 public:
  /// A buffer to receive into; its content is valid only until the connection returns to the event loop.
  virtual std::vector<char>& read_buffer() = 0;
  virtual void on_head(uint64_t request, UpstreamResponseHead&& head) = 0;
  virtual void on_body(uint64_t request, std::string_view bytes) = 0;
  /// The response is complete; the connection is already idle or closed.
  virtual void on_complete(uint64_t request) = 0;
  /// The request failed; the connection is already closed.
  virtual void on_failure(uint64_t request, UpstreamDelivery delivery, std::string reason) = 0;
  /// The response is malformed; `on_failure` follows.
  virtual void on_malformed(uint64_t request) = 0;
  /// The connection can be given another request from now on.
  virtual void on_idle(std::shared_ptr<UpstreamConnection> connection) = 0;
  virtual void on_closed(UpstreamConnection& connection) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

/// Sends requests and reads their responses, one after another. The owner holds a shared pointer to it until
/// `on_closed`; a closed connection does nothing. A request is sent once, on one connection.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// @param socket a non-blocking socket whose connect is in progress.
  UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, Address address, Fd socket);
  /// Sets the next request; `id` is the owner's id for it. The connection must be new or idle. `connect` or `send` then
  /// sends the request.
  /// @param bytes the serialized request.
  void assign(uint64_t id, const UpstreamRequest& request, std::string bytes);
  /// For a new connection: sends the request once the connection is established.
  void connect(Duration timeout);
  /// For an idle connection: sends the request immediately.
  void send();
  /// May only be called in `on_head`, if the response belongs to an earlier request. It is read to its end and
  /// discarded; the next head is then reported.
  void skip_response() { skipping_ = true; }
  /// Stops reading. Bytes of the last read, at most one read buffer, are still delivered.
  void pause_reading();
  void resume_reading();
  /// Closes the connection after the current request instead of reusing it.
  void forbid_reuse() { reusable_ = false; }
  void close();

  const Address& address() const { return address_; }
  bool idle() const { return phase_ == Phase::idle; }
  /// Time when the connection became idle.
  MonotonicTime idle_since() const { return idle_since_; }
  /// Whether an idle connection can be reused: it has not expired, and the replica has neither closed it nor sent
  /// anything.
  bool usable() const;

 private:
  enum class Phase { connecting, active, idle, closed };
  void on_ready(uint32_t events);
  void on_connected();
  void send_unsent();
  void receive();
  /// Handles an orderly close of the replica's side.
  void on_end_of_stream();
  /// Parses the next part of the response; returns false if nothing more can be parsed for now.
  bool read_response();
  void on_head(HttpHead head);
  /// Handles the end of a response. Returns true if it was skipped and the request's own response may follow.
  bool on_response_complete();
  void become_idle();
  void fail(std::string reason);
  void start_timer(Duration delay, void (UpstreamConnection::*on_timer)());
  void cancel_timer();
  void on_connect_timeout();
  void update_watched_events();

  EventLoop& loop_;
  UpstreamConnectionOwner& owner_;
  Address address_;
  Fd socket_;
  Phase phase_ = Phase::connecting;
  bool watched_ = false;
  uint32_t watched_events_ = 0;
  /// Id of the connect or idle timer; 0 if none is running.
  uint64_t timer_ = 0;
  MonotonicTime connect_deadline_{};
  /// The owner's id of the current request; 0 if there is none.
  uint64_t request_ = 0;
  /// The serialized request; its first `sent_bytes_` bytes have been passed to the kernel.
  std::string request_bytes_;
  size_t sent_bytes_ = 0;
  /// Set once the kernel has accepted the first byte.
  bool possibly_sent_ = false;
  /// The error that ended the sending of the request; 0 if there was none. The socket reports an error only once, so
  /// that a read after it takes a reset for an orderly close.
  int send_error_ = 0;
  HttpResponseReader reader_;
  bool reading_paused_ = false;
  bool skipping_ = false;
  /// The tags of the current and the previous request.
  std::string tag_, previous_tag_;
  bool reusable_ = true;
  /// How long the replica keeps the connection when idle, and the resulting idle period.
  Duration keep_alive_ = 0ms;
  MonotonicTime idle_since_{};
  MonotonicTime idle_until_{};
};

}  // namespace mosskeel
