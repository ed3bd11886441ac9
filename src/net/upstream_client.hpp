#pragma once
// HTTP/1.1 towards replicas, on a loop.
#include <deque>

#include "net/event_loop.hpp"
#include "net/protocol_codec.hpp"

namespace mosskeel {

/// Asks replicas and reads their answers; keeps connections for reuse. Never sends a request twice. All of it, events
/// too, on the loop's thread; no event comes from within send_request(); must not be destroyed in an event.
class UpstreamClient {
 public:
  struct ResponseHead {
    uint32_t status = 0;
    HeaderFields fields;
    bool chunked = false;
    std::optional<uint64_t> content_length;
    /// The tag of the ask that had this connection before; empty on a new one.
    std::string previous_tag;
  };
  /// `not_sent`: not one byte of the request can have reached the replica.
  enum class Delivery { not_sent, possibly_sent };
  struct Callbacks {
    std::function<void(uint64_t id, ResponseHead&&)> head;
    /// The body's bytes, dechunked.
    std::function<void(uint64_t id, std::string_view)> bytes;
    /// The whole answer was read, by its own framing. A body that lasts until the close ends as lost.
    std::function<void(uint64_t id)> end;
    std::function<void(uint64_t id, Delivery, std::string reason)> lost;
  };
  UpstreamClient(EventLoop& loop, Callbacks events);
  ~UpstreamClient();
  struct Request {
    Address to;
    std::string method, target;
    HeaderFields fields;
    std::string body;
    /// Not on a kept connection.
    bool new_connection = false;
    Millis connect_ms = 1000;
    /// Only on a kept connection that has rested for no longer: a replica may have forgotten it silently.
    Millis max_idle_ms = INT64_MAX;
    /// What the asker calls it, for `ResponseHead::previous_tag`.
    std::string tag;
  };
  /// The fields are sent as given, but for the framing, which is the upstream_client's own.
  uint64_t send_request(Request a);
  /// Closes its connection; no more events of that id.
  void cancel(uint64_t id);
  /// From within `head`: this answer is not the ask's own but a late one of an earlier ask. It is read to its end
  /// unseen, and the next head is awaited.
  void skip_response(uint64_t id);
  /// Stops or starts reading; what the last read brought, at most 16 KiB, still comes.
  void pause(uint64_t id, bool on);
  /// Closes idle connections to a replica; running ones are not used again.
  void forget(const Address& a);
  uint64_t opened() const { return opened_; }
  size_t idle() const;

 private:
  struct Connection;
  using Held = std::shared_ptr<Connection>;
  Held kept(const Address& to, Millis max_idle_ms);
  std::string open(const Held& c, Millis connect_ms);
  void ready(const Held& c, uint32_t events);
  void connected(const Held& c);
  void send(const Held& c);
  void receive(const Held& c);
  bool read(const Held& c);
  bool read_head(const Held& c);
  bool read_body(const Held& c);
  bool finish(const Held& c);
  void keep(const Held& c);
  void lose(const Held& c, std::string reason);
  void close(const Held& c);
  void interest(const Held& c);
  EventLoop& loop_;
  Callbacks events_;
  uint64_t last_id_ = 0, opened_ = 0;
  std::unordered_map<uint64_t, Held> asks_;
  std::unordered_map<Connection*, Held> connections_;
  std::unordered_map<Address, std::deque<Held>> idle_;
  std::vector<char> buffer_;
  std::shared_ptr<UpstreamClient*> self_;
};

}  // namespace mosskeel
