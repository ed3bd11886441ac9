#pragma once
// The message transport between daemons, based on nng: one PULL socket to receive and one PUSH socket per peer.
#include <atomic>
#include <mutex>
#include <thread>

#include "messages/message.hpp"

namespace mosskeel {

/// An owning wrapper for an nng socket.
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

/// Sends and receives messages without delivery guarantees: messages may be lost, duplicated or reordered, and are not
/// resent. `send` and the counters are thread-safe.
class Transport {
 public:
  /// Called on the transport's thread with a message and its encoded size.
  using MessageCallback = std::function<void(Envelope envelope, size_t bytes)>;
  /// Starts receiving messages at this address.
  /// @return errors if listening at the address fails.
  static Result<std::unique_ptr<Transport>> open(const Address& address, MessageCallback on_message);
  /// Stops receiving; waits for a running callback.
  ~Transport();
  /// Sends to `envelope.to`, and connects to that peer on first use. Never blocks.
  /// @return false if the message was dropped because the peer's queue is full.
  bool send(const Envelope& envelope);
  uint64_t sent() const { return sent_; }
  uint64_t dropped() const { return dropped_; }
  /// Number of received messages that were corrupt or not of this protocol.
  uint64_t foreign() const { return foreign_; }

 private:
  Transport(NngSocket receiver, MessageCallback on_message);
  void receive_messages();
  /// @param envelope no value if the bytes are not a valid message.
  void on_received(std::optional<Envelope> envelope, size_t bytes);
  /// Returns the id of the socket to a peer and opens it if needed; no value if that fails.
  std::optional<uint32_t> peer_socket(const Address& peer);

  NngSocket receiver_;
  MessageCallback on_message_;
  /// Guards `peers_`.
  std::mutex mutex_;
  /// Sockets stay open until destruction: nng reconnects them when a peer restarts.
  std::map<Address, NngSocket> peers_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<uint64_t> sent_{0}, dropped_{0}, foreign_{0};
  /// Started by `open` once the socket is listening.
  std::thread thread_;
};

}  // namespace mosskeel
