#pragma once
// HTTP/1.1 towards callers, on a loop.
#include "net/event_loop.hpp"
#include "net/protocol_codec.hpp"

namespace mosskeel {

struct HttpListenerLimits {
  size_t max_head_bytes = 16384, max_body_bytes = 4 << 20;
  Millis head_timeout_ms = 3000, idle_timeout_ms = 15000;
  size_t max_connections = 2000;
};

/// Listens, reads whole requests, one exchange at a time a session, and writes their answers. Malformed requests are
/// answered here and their session closed. All of it, events too, on the loop's thread; must not be destroyed in an
/// event. After finish(), send_response(), abort() or `left` an exchange's id is dead: it has no more events, and calls
/// with it do nothing.
class HttpListener {
 public:
  struct Callbacks {
    /// A whole request has been read; `id` names the exchange.
    std::function<void(uint64_t id, HttpRequest&&)> asked;
    /// The caller closed or reset before its answer was over.
    std::function<void(uint64_t id)> left;
    /// The exchange's unsent bytes fell below the low watermark after having been above the high one.
    std::function<void(uint64_t id)> drained;
  };
  /// Bytes; 1,000 slow callers at the high one and a read more hold 64 MB, a quarter of a small machine's memory.
  static constexpr size_t low_watermark = 16 << 10, high_watermark = 48 << 10;
  /// `send_buffer` is in bytes and for each session; 0 leaves it to the system.
  static Result<std::unique_ptr<HttpListener>> open(EventLoop& loop, const Address& at, Callbacks events,
                                                    int send_buffer = 0);
  ~HttpListener();
  void set_limits(const HttpListenerLimits& l) { limits_ = l; }
  /// The address listened at, with the port the system chose where none was named.
  Address local_address() const;
  /// The answer's head; without a length its body is chunked. Fields of one connection are dropped.
  void send_head(uint64_t id, uint32_t status, const HeaderFields& f, std::optional<uint64_t> length);
  void send_body(uint64_t id, std::string_view s);
  /// The answer is over; one that is shorter than its length is cut.
  void finish(uint64_t id);
  void send_response(uint64_t id, uint32_t status, const HeaderFields& f, std::string_view body);
  /// Resets the connection, so that the answer can't look complete.
  void abort(uint64_t id);
  size_t unsent_bytes(uint64_t id) const;
  /// Every answer from now on is the last of its session and says so. Listening goes on, and idle sessions stay open
  /// for one more request, for their callers may be sending one.
  void close_after_responses();
  /// Ends listening for good; idle sessions are closed without reading from them again, so that a request which
  /// crosses the close is known to its caller as unread. All other sessions end with their answer.
  void drain();
  size_t connections() const { return sessions_.size(); }

 private:
  struct Session;
  using Held = std::shared_ptr<Session>;
  HttpListener(EventLoop& loop, Callbacks events, Fd listening);
  void accept();
  void ready(const Held& s, uint32_t events);
  void receive(const Held& s);
  void pump(const Held& s);
  bool read_head(const Held& s);
  bool read_body(const Held& s);
  void ask(const Held& s);
  void refuse(const Held& s, uint32_t status);
  void mark(const Held& s);
  void flush_marked();
  void flush(const Held& s);
  void next(const Held& s);
  void part(const Held& s);
  void part_unread(const Held& s);
  void lose(const Held& s);
  void close(const Held& s);
  void reset(const Held& s);
  void interest(const Held& s);
  void due(const Held& s, Millis ms);
  void arm(const Held& s, Millis ms);
  void expire(const Held& s);
  Held held(uint64_t id) const;
  EventLoop& loop_;
  Callbacks events_;
  Fd listening_;
  HttpListenerLimits limits_;
  bool closing_ = false, draining_ = false, flush_posted_ = false;
  uint64_t last_id_ = 0;
  std::unordered_map<uint64_t, Held> exchanges_;
  std::unordered_map<Session*, Held> sessions_;
  std::vector<Held> marked_;
  std::vector<char> buffer_;
  std::shared_ptr<HttpListener*> self_;
};

}  // namespace mosskeel
