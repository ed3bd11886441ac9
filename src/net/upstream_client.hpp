#pragma once
// An event-driven HTTP/1.1 client for replicas.
#include "net/connection_pool.hpp"

namespace mosskeel {

/// Sends requests to replicas, reads their responses and pools connections for reuse. It never sends a request twice:
/// the caller decides whether to retry a failed request.
///
/// All functions and callbacks run on the loop's thread. `send_request` does not call callbacks. The client must not be
/// destroyed in a callback. After `on_complete`, `on_failure` or `cancel`, the request's id is invalid: it gets no more
/// callbacks, and calls with it do nothing.
class UpstreamClient final : private UpstreamConnectionOwner {
 public:
  using Delivery = UpstreamDelivery;
  using Request = UpstreamRequest;
  using ResponseHead = UpstreamResponseHead;
  struct Callbacks {
    /// Not called for interim responses (1xx).
    std::function<void(uint64_t request, ResponseHead&& head)> on_head;
    /// Called with bytes of the body, decoded from the chunked coding.
    std::function<void(uint64_t request, std::string_view bytes)> on_body;
    /// The response is complete, either by its own framing or, if it has none, by an orderly close. A reset never
    /// completes a response.
    std::function<void(uint64_t request)> on_complete;
    /// The request has failed; there will be no complete response.
    std::function<void(uint64_t request, Delivery delivery, std::string reason)> on_failure;
    /// Called right before `on_failure` if the replica's bytes are no response, or have no end where a limit is due.
    /// May be empty.
    std::function<void(uint64_t request)> on_malformed;
  };
  UpstreamClient(EventLoop& loop, Callbacks callbacks);
  ~UpstreamClient();

  /// @return the request's id; all errors are reported through `on_failure`.
  uint64_t send_request(Request request);
  /// Closes the request's connection; there are no more callbacks for it.
  void cancel(uint64_t request);
  /// May only be called in `on_head`, if the response belongs to an earlier request. It is read to its end and
  /// discarded; the next head is then reported.
  void skip_response(uint64_t request);
  /// Stops reading the response. Bytes of the last read, at most 16 KiB, are still delivered.
  void pause_reading(uint64_t request);
  void resume_reading(uint64_t request);
  /// Closes the idle connections to a replica; its active connections are not reused.
  void retire_connections(const Address& address);
  /// Number of connections opened so far.
  uint64_t connections_opened() const { return connections_opened_; }
  size_t idle_connections() const { return pool_.size(); }

 private:
  /// A new connection, or an error.
  struct OpenResult {
    std::shared_ptr<UpstreamConnection> connection;
    std::string error;
  };
  OpenResult open_connection(const Address& address);
  /// Posts the failure to the event loop, so that the sender already has the request's id when it is reported.
  void fail_later(uint64_t request, std::string reason);
  /// Returns null if the request has ended or has no connection.
  std::shared_ptr<UpstreamConnection> find(uint64_t request) const;

  // UpstreamConnectionOwner
  std::vector<char>& read_buffer() override { return read_buffer_; }
  void on_head(uint64_t request, ResponseHead&& head) override;
  void on_body(uint64_t request, std::string_view bytes) override;
  void on_complete(uint64_t request) override;
  void on_failure(uint64_t request, Delivery delivery, std::string reason) override;
  void on_malformed(uint64_t request) override;
  void on_idle(std::shared_ptr<UpstreamConnection> connection) override { pool_.add(std::move(connection)); }
  void on_closed(UpstreamConnection& connection) override;

  EventLoop& loop_;
  Callbacks callbacks_;
  uint64_t last_request_ = 0;
  uint64_t connections_opened_ = 0;
  /// Connections of the requests in progress; null for requests that are about to fail.
  std::unordered_map<uint64_t, std::shared_ptr<UpstreamConnection>> requests_;
  std::unordered_map<UpstreamConnection*, std::shared_ptr<UpstreamConnection>> connections_;
  ConnectionPool pool_;
  /// Shared by all connections, because only one reads at a time.
  std::vector<char> read_buffer_;
  /// Lets functions that the loop still holds detect that this object was destroyed.
  std::shared_ptr<UpstreamClient*> self_;
};

}  // namespace mosskeel
