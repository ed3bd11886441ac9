#pragma once
// A libcurl client for this product's own interface to model replicas.
#include "messages/message.hpp"
#include "net/replica_call_limits.hpp"

namespace mosskeel {

/// Sends requests to replicas on its own thread. A request that is not idempotent uses a new connection, because
/// libcurl resends a request by itself if a reused connection turns out to be closed.
class ReplicaClient {
 public:
  /// Called on the client's thread: with a ReplicaCallChunk for each piece of a model's response as it arrives, and
  /// with one ReplicaCallResponse for each request that was not cancelled.
  using MessageCallback = std::function<void(Message)>;
  /// Returns the bytes of the messages that were passed to the callback and are not handled yet. Thread-safe.
  using Backlog = std::function<size_t()>;
  explicit ReplicaClient(
      MessageCallback on_message, const ReplicaCallLimits& limits = ReplicaCallLimits::for_memory(0),
      Backlog backlog = [] { return size_t{0}; });
  /// Aborts the requests in progress without reporting them.
  ~ReplicaClient();
  /// Thread-safe, like `cancel`.
  void send(const ReplicaCall& request);
  /// Aborts a request. Nothing more is reported for it, except messages that are already being delivered.
  void cancel(const std::string& attempt);

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace mosskeel
