#pragma once
// Messages between daemons over nng: one PULL socket to hear, one PUSH socket per peer.
#include <atomic>
#include <mutex>
#include <thread>

#include "messages/message.hpp"

namespace mosskeel {

/// An nng socket that closes itself.
class Socket {
 public:
  explicit Socket(uint32_t id = 0) : id_(id) {}
  Socket(Socket&& o) noexcept : id_(std::exchange(o.id_, 0)) {}
  Socket& operator=(Socket&&) = delete;
  ~Socket();
  uint32_t id() const { return id_; }

 private:
  uint32_t id_;
};

class Transport {
 public:
  /// A message and its size as it came.
  using Hear = std::function<void(Envelope, size_t bytes)>;
  /// Errors if the address cannot be listened on.
  static Result<std::unique_ptr<Transport>> open(const Address& at, Hear hear);
  ~Transport();
  /// Never blocks, never resends; false where the peer's queue is full.
  bool send(const Envelope& e);
  uint64_t sent() const { return sent_; }
  uint64_t dropped() const { return dropped_; }
  uint64_t foreign() const { return foreign_; }

 private:
  Transport() = default;
  void listen();
  std::mutex m_;
  std::map<Address, Socket> peers_;
  std::unique_ptr<Socket> in_;
  Hear hear_;
  std::thread thread_;
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> sent_{0}, dropped_{0}, foreign_{0};
};

}  // namespace mosskeel
