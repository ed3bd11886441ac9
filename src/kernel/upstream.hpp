#pragma once
// Asks replicas over HTTP by libcurl: one thread, fresh sessions for what may not be repeated.
#include <thread>

#include "kernel/queue.hpp"
#include "kernel/messages.hpp"

namespace mosskeel {

class Upstream {
 public:
  /// `hear` gets ReplicaPiece and ReplicaEnd.
  explicit Upstream(std::function<void(Message)> hear);
  ~Upstream();
  void ask(const ReplicaAsk& a);
  void stop(const std::string& attempt);

 private:
  struct Impl;
  std::unique_ptr<Impl> i_;
};

}  // namespace mosskeel
