#pragma once
// Sends encoded messages to peers, each over a PUSH socket of nng.
#include <atomic>
#include <memory>
#include <mutex>

#include "net/nng_socket.hpp"
#include "net/send_queues.hpp"

struct nng_aio;

namespace mosskeel {

/// Connects to each peer on first use and again whenever the connection is lost. What a peer does not take at once is
/// queued within the limits of `SendQueues`; beyond the queue, nng holds at most two messages for a connected peer (one
/// that is being written, one that is next) and none for any other. Thread-safe; never blocks on a peer.
class MessageSender {
 public:
  explicit MessageSender(SendQueueLimits limits) : queues_(limits) {}
  MessageSender(const MessageSender&) = delete;
  ~MessageSender();

  /// @return false if the message was dropped because no socket could be opened.
  bool send(const Address& to, std::string message);
  /// Number of messages that were accepted.
  uint64_t sent() const { return sent_; }
  /// Number of messages that were dropped, also after they had been accepted.
  uint64_t dropped() const { return dropped_; }
  size_t queued_bytes() const;

 private:
  /// A peer's socket and the message on its way to it. Except for `socket` and `operation`, which stay as they are,
  /// guarded by `mutex_`.
  struct Peer {
    Peer(MessageSender& owner, Address peer_address) : sender(owner), address(std::move(peer_address)) {}
    Peer(const Peer&) = delete;
    ~Peer();
    MessageSender& sender;
    const Address address;
    NngSocket socket;
    /// Sends the queued messages one after the other; null until the socket is open.
    nng_aio* operation = nullptr;
    bool connected = false;
    /// Whether `operation` is under way.
    bool sending = false;
  };

  /// Returns the peer, whose socket is opened if needed; null if that fails.
  Peer* open_peer(const Address& address);
  bool open_socket(Peer& peer);
  /// Whether nng took the message without waiting.
  bool send_now(Peer& peer, const std::string& message);
  /// Starts to send the peer's next queued message unless one is under way or the peer is not connected.
  void send_next(Peer& peer);
  void on_sent(Peer& peer);
  void on_connected(Peer& peer);
  void on_disconnected(Peer& peer);
  /// Makes nng forget a connection that is about to be freed. To be called from nng's notice of its end.
  static void forget_closed_connection(const Peer& peer);
  void count_dropped(size_t messages, const Address& peer);

  mutable std::mutex mutex_;
  /// Guarded by `mutex_`, like `peers_` and `closing_`.
  SendQueues queues_;
  std::map<Address, std::unique_ptr<Peer>> peers_;
  bool closing_ = false;
  std::atomic<uint64_t> sent_{0}, dropped_{0};
};

}  // namespace mosskeel
