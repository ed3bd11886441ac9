#pragma once
// Delivers messages from a state machine to threads of the same process.
#include <mutex>

#include "base/queue.hpp"
#include "messages/message.hpp"

namespace mosskeel {

/// Gives each waiting thread, such as the one of an HTTP request, its own address, and delivers the messages that a
/// state machine sends to that address. Thread-safe.
class LocalMailboxes {
 public:
  using Mailbox = Queue<Message>;
  struct Opened {
    Address address;
    std::shared_ptr<Mailbox> mailbox;
  };
  /// Opens a new mailbox; its address starts with "local:". After `shut_down`, new mailboxes are already closed.
  Opened open();
  /// Removes the mailbox; messages delivered to its address from now on are dropped.
  void close(const Address& address);
  /// Delivers the message to its receiver's mailbox; drops it if that mailbox is closed.
  void deliver(const Envelope& envelope);
  /// Closes all mailboxes, including those opened later. Nothing more is delivered; receivers get the messages that are
  /// already queued, and then no further message without waiting.
  void shut_down();
  /// Number of open mailboxes.
  size_t size() const;

 private:
  /// Guards all members.
  mutable std::mutex mutex_;
  bool is_shut_down_ = false;
  uint64_t last_number_ = 0;
  std::map<Address, std::shared_ptr<Mailbox>> mailboxes_;
};

}  // namespace mosskeel
