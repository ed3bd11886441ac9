#pragma once
// Messages between daemons over nng: one PULL socket to receive, one PUSH socket for each peer.
#include <atomic>
#include <mutex>
#include <thread>

#include "messages/message.hpp"

namespace mosskeel {

/// An nng socket that closes itself.
class NngSocket {
 public:
  explicit NngSocket(uint32_t id) : id_(id) {}
  NngSocket(NngSocket&& other) noexcept : id_(std::exchange(other.id_, 0)) {}
  NngSocket& operator=(NngSocket&&) = delete;
  ~NngSocket();
  uint32_t id() const { return id_; }

 private:
  uint32_t id_{};
};

/// Sends and receives messages without any promise: they may be lost, doubled or reordered, and nothing is sent again.
/// `send` and the counters are thread-safe.
class Transport {
 public:
  /// Called on the transport's own thread with a message and its size on the wire.
  using MessageCallback = std::function<void(Envelope envelope, size_t bytes)>;
  /// Receives messages at this address from now on.
  /// @return errors where the address can't be listened on.
  static Result<std::unique_ptr<Transport>> open(const Address& address, MessageCallback on_message);
  /// Ends receiving; waits for a callback that is under way.
  ~Transport();
  /// Sends to `envelope.to`, connecting to it where that is new. Never blocks.
  /// @return false where the message was dropped, because the peer's queue is full.
  bool send(const Envelope& envelope);
  uint64_t sent() const { return sent_; }
  uint64_t dropped() const { return dropped_; }
  /// Received messages that were damaged or not of our protocol.
  uint64_t foreign() const { return foreign_; }

 private:
  Transport(NngSocket receiver, MessageCallback on_message);
  void receive_messages();
  /// @param envelope nothing where the bytes were no message of ours.
  void on_received(std::optional<Envelope> envelope, size_t bytes);
  /// The id of the socket to a peer, opened where needed; nothing where that fails.
  std::optional<uint32_t> peer_socket(const Address& peer);

  NngSocket receiver_;
  MessageCallback on_message_;
  /// Guards `peers_`.
  std::mutex mutex_;
  /// Sockets stay open until the end: nng connects them again where a peer restarts.
  std::map<Address, NngSocket> peers_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<uint64_t> sent_{0}, dropped_{0}, foreign_{0};
  /// Started by `open` once the socket listens.
  std::thread thread_;
};

}  // namespace mosskeel
