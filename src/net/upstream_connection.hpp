#pragma once
// One connection to a replica.
#include <vector>

#include "base/fd.hpp"
#include "net/event_loop.hpp"
#include "net/http_response_reader.hpp"

namespace mosskeel {

class UpstreamConnection;

/// Whether a request that failed may have run: `not_sent` means that not one byte of it can have reached the replica.
enum class UpstreamDelivery { not_sent, possibly_sent };

/// A request as UpstreamClient takes it. The fields are sent as given, but for the framing, which is the client's own.
struct UpstreamRequest {
  Address address;
  std::string method, target;
  HeaderFields fields;
  std::string body;
  /// Not on a kept connection.
  bool new_connection = false;
  Duration connect_timeout = 1000ms;
  /// Only on a kept connection that has been idle for no longer: a replica may have forgotten it silently.
  Duration max_idle = Duration::max();
  /// What the sender calls the request, for `UpstreamResponseHead::previous_tag`.
  std::string tag;
};

struct UpstreamResponseHead {
  uint32_t status = 0;
  HeaderFields fields;
  bool chunked = false;
  std::optional<uint64_t> content_length;
  /// The tag of the request that had this connection before; empty on a new one.
  std::string previous_tag;

  /// Whether nothing but the end of the connection tells where the body ends.
  bool lasts_until_close() const { return !chunked && !content_length; }
};

/// What a connection needs of its client. All of it is called on the loop's thread, and never from within
/// `send_request` or `connect`.
class UpstreamConnectionOwner {
 public:
  /// Where a connection may receive bytes to; the content is its own only until it returns.
  virtual std::vector<char>& read_buffer() = 0;
  virtual void on_head(uint64_t request, UpstreamResponseHead&& head) = 0;
  virtual void on_body(uint64_t request, std::string_view bytes) = 0;
  /// The response is complete; the connection is idle or closed by now.
  virtual void on_complete(uint64_t request) = 0;
  /// The connection is closed by now.
  virtual void on_failure(uint64_t request, UpstreamDelivery delivery, std::string reason) = 0;
  /// May take another request from now on.
  virtual void on_idle(std::shared_ptr<UpstreamConnection> connection) = 0;
  virtual void on_closed(UpstreamConnection& connection) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

/// Sends one request after the other and reads their responses. Its owner holds it by a shared pointer until
/// `on_closed`; a connection that is closed does nothing more. A request is sent once, on one connection.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// @param socket non-blocking, its connect is under way.
  UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, Address address, Fd socket);
  /// Gives it the next request, `id` being its owner's name for it. Only on a new or an idle connection; it is sent by
  /// `connect` or `send`.
  /// @param bytes the request as it goes over the wire.
  void assign(uint64_t id, const UpstreamRequest& request, std::string bytes);
  /// On a new connection: waits until it is established and sends the request then.
  void connect(Duration timeout);
  /// On an idle connection: sends the request now.
  void send();
  /// From within `on_head`: this response is not the request's own, but a late one to an earlier request. It is read to
  /// its end unseen, and the next head is awaited.
  void skip_response() { skipping_ = true; }
  /// What the last read brought, one read buffer at most, still comes.
  void pause_reading();
  void resume_reading();
  /// It takes no request after the one under way.
  void forbid_reuse() { reusable_ = false; }
  void close();

  const Address& address() const { return address_; }
  bool idle() const { return phase_ == Phase::idle; }
  /// When it became idle, on the monotonic clock.
  MonotonicTime idle_since() const { return idle_since_; }
  /// Whether an idle connection can take a request: it has not expired, and the replica neither closed it nor spoke.
  bool usable() const;

 private:
  enum class Phase { connecting, active, idle, closed };
  void on_ready(uint32_t events);
  void on_connected();
  void send_unsent();
  void receive();
  /// The replica has closed its direction in order.
  void on_end_of_stream();
  /// Reads on; false where nothing more can be read for now.
  bool read_response();
  void on_head(HttpHead head);
  /// The response is complete; true where the request's own one may follow.
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
  /// The timer of the connect or of the idle time, 0 where none runs.
  uint64_t timer_ = 0;
  MonotonicTime connect_deadline_{};
  /// The owner's name for the request under way, 0 where there is none.
  uint64_t request_ = 0;
  /// The request's bytes, of which the kernel has taken the first `sent_bytes_`.
  std::string request_bytes_;
  size_t sent_bytes_ = 0;
  /// From the first byte that the kernel has taken on.
  bool possibly_sent_ = false;
  HttpResponseReader reader_;
  bool reading_paused_ = false;
  bool skipping_ = false;
  /// The tags of this request and of the one before.
  std::string tag_, previous_tag_;
  bool reusable_ = true;
  /// How long the replica keeps the connection when idle, and what follows from it.
  Duration keep_alive_ = 0ms;
  MonotonicTime idle_since_{};
  MonotonicTime idle_until_{};
};

}  // namespace mosskeel
