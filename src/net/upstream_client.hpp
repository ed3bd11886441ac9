#pragma once
// An HTTP/1.1 client on an event loop, towards replicas.
#include "net/connection_pool.hpp"

namespace mosskeel {

/// Sends requests to replicas and reads their responses; keeps connections for reuse. It never sends a request twice:
/// whether one that failed may be retried is for its sender to decide.
///
/// Everything, callbacks too, happens on the loop's thread. No callback comes from within `send_request`. It must not
/// be destroyed in a callback. After `on_complete`, `on_failure` or `cancel` a request's id is no longer valid: it has
/// no more callbacks, and calls with it do nothing.
class UpstreamClient final : private UpstreamConnectionOwner {
 public:
  using Delivery = UpstreamDelivery;
  using Request = UpstreamRequest;
  using ResponseHead = UpstreamResponseHead;
  struct Callbacks {
    /// Interim responses (1xx) are not told.
    std::function<void(uint64_t request, ResponseHead&& head)> on_head;
    /// Bytes of the body, without the chunked coding.
    std::function<void(uint64_t request, std::string_view bytes)> on_body;
    /// The response is complete: by its own framing, or by an orderly close where it has none. A reset completes none.
    std::function<void(uint64_t request)> on_complete;
    /// There is no complete response, and there will be none.
    std::function<void(uint64_t request, Delivery delivery, std::string reason)> on_failure;
  };
  UpstreamClient(EventLoop& loop, Callbacks callbacks);
  ~UpstreamClient();

  /// @return the request's id; errors too are told by `on_failure`.
  uint64_t send_request(Request request);
  /// Closes the request's connection; it has no more callbacks.
  void cancel(uint64_t request);
  /// From within `on_head`: this response is not the request's own, but a late one to an earlier request. It is read to
  /// its end unseen, and the next head is awaited.
  void skip_response(uint64_t request);
  /// Stops reading the response; what the last read brought, at most 16 KiB, still comes.
  void pause_reading(uint64_t request);
  void resume_reading(uint64_t request);
  /// Closes the idle connections to a replica; the active ones take no further request.
  void retire_connections(const Address& address);
  /// Connections opened so far.
  uint64_t connections_opened() const { return connections_opened_; }
  size_t idle_connections() const { return pool_.size(); }

 private:
  /// A new connection, or why there is none.
  struct Opened {
    std::shared_ptr<UpstreamConnection> connection;
    std::string error;
  };
  Opened open_connection(const Address& address);
  /// Fails the request from the loop, so that its sender knows its id by then.
  void fail_later(uint64_t request, std::string reason);
  /// Nothing where the request is over or has no connection.
  std::shared_ptr<UpstreamConnection> find(uint64_t request) const;

  // UpstreamConnectionOwner
  std::vector<char>& read_buffer() override { return read_buffer_; }
  void on_head(uint64_t request, ResponseHead&& head) override;
  void on_body(uint64_t request, std::string_view bytes) override;
  void on_complete(uint64_t request) override;
  void on_failure(uint64_t request, Delivery delivery, std::string reason) override;
  void on_idle(std::shared_ptr<UpstreamConnection> connection) override { pool_.add(std::move(connection)); }
  void on_closed(UpstreamConnection& connection) override;

  EventLoop& loop_;
  Callbacks callbacks_;
  uint64_t last_request_ = 0;
  uint64_t connections_opened_ = 0;
  /// Requests under way with their connections; without one those that are about to fail.
  std::unordered_map<uint64_t, std::shared_ptr<UpstreamConnection>> requests_;
  std::unordered_map<UpstreamConnection*, std::shared_ptr<UpstreamConnection>> connections_;
  ConnectionPool pool_;
  /// Shared by all connections, for only one reads at a time.
  std::vector<char> read_buffer_;
  /// Lets functions that the loop still holds find out that this object is gone.
  std::shared_ptr<UpstreamClient*> self_;
};

}  // namespace mosskeel
