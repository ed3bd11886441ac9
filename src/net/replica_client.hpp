#pragma once
// Requests of the product's own interface to model replicas, by libcurl.
#include "messages/message.hpp"

namespace mosskeel {

/// Sends requests to replicas on a thread of its own. One that is not idempotent goes over a fresh connection: libcurl
/// would send it again on its own where a kept connection turns out to be closed.
class ReplicaClient {
 public:
  /// Called on the client's thread, with ReplicaCallChunk for each piece of a model's response as it comes, and with
  /// one ReplicaCallResponse for each request that was not cancelled.
  using MessageCallback = std::function<void(Message)>;
  explicit ReplicaClient(MessageCallback on_message);
  /// Drops the requests under way; nothing is told of them.
  ~ReplicaClient();
  /// Thread-safe, as is `cancel`.
  void send(const ReplicaCall& request);
  /// Drops a request; nothing more is told of it, but what is under way already.
  void cancel(const std::string& attempt);

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace mosskeel
