#pragma once
// The message transport between daemons, based on nng: one PULL socket to receive and one PUSH socket per peer.
#include <atomic>
#include <thread>

#include "messages/message.hpp"
#include "net/message_sender.hpp"

namespace mosskeel {

/// Sends and receives messages without delivery guarantees: messages may be lost, duplicated or reordered, and are not
/// resent. `send` and the counters are thread-safe.
class Transport {
 public:
  /// Called on the transport's thread with a message and its encoded size.
  using MessageCallback = std::function<void(Envelope envelope, size_t bytes)>;
  /// Starts receiving messages at this address.
  /// @param send_limits bounds what is held for peers that do not take their messages.
  /// @return errors if listening at the address fails.
  static Result<std::unique_ptr<Transport>> open(const Address& address, SendQueueLimits send_limits,
                                                 MessageCallback on_message);
  /// Stops receiving; waits for a running callback.
  ~Transport();
  /// Sends to `envelope.to`, and connects to that peer on first use. Never blocks.
  /// @return false if the message was dropped because no socket could be opened.
  bool send(const Envelope& envelope);
  uint64_t sent() const { return sender_.sent(); }
  /// Number of messages that were dropped because a queue was full or a connection was lost.
  uint64_t dropped() const { return sender_.dropped(); }
  /// Bytes of the messages that wait for their peers.
  size_t queued_bytes() const { return sender_.queued_bytes(); }
  /// Number of received messages that were corrupt or not of this protocol.
  uint64_t foreign() const { return foreign_; }

 private:
  Transport(NngSocket receiver, SendQueueLimits send_limits, MessageCallback on_message);
  void receive_messages();
  /// @param envelope no value if the bytes are not a valid message.
  void on_received(std::optional<Envelope> envelope, size_t bytes);

  NngSocket receiver_;
  MessageCallback on_message_;
  MessageSender sender_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<uint64_t> foreign_{0};
  /// Started by `open` once the socket is listening.
  std::thread thread_;
};

}  // namespace mosskeel
