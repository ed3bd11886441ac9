#pragma once
// Asks replicas over HTTP by libcurl: one thread, fresh sessions for what may not be repeated.
#include <thread>

#include "base/queue.hpp"
#include "messages/message.hpp"

namespace mosskeel {

class ReplicaClient {
 public:
  /// `hear` gets ReplicaCallChunk and ReplicaCallResponse.
  explicit ReplicaClient(std::function<void(Message)> hear);
  ~ReplicaClient();
  void send(const ReplicaCall& a);
  void cancel(const std::string& attempt);

 private:
  struct Impl;
  std::unique_ptr<Impl> i_;
};

}  // namespace mosskeel
