#pragma once
// Messages from a machine to threads of its own process.
#include <mutex>

#include "base/queue.hpp"
#include "messages/message.hpp"

namespace mosskeel {

/// Gives each waiting thread, as that of an HTTP request, an address of its own, and delivers to it the messages that a
/// state machine sends there. Thread-safe.
class LocalMailboxes {
 public:
  using Mailbox = Queue<Message>;
  struct Opened {
    Address address;
    std::shared_ptr<Mailbox> mailbox;
  };
  /// A new mailbox; its address begins with "local:". After `shut_down` it is closed from the start.
  Opened open();
  /// What is delivered there from now on is dropped.
  void close(const Address& address);
  /// Delivers the message to its receiver's mailbox; dropped where that is closed.
  void deliver(const Envelope& envelope);
  /// Nothing is delivered from now on: whoever waits at a mailbox, or will wait, takes what is there and then nothing.
  void shut_down();
  /// Mailboxes that are open.
  size_t size() const;

 private:
  /// Guards all members.
  mutable std::mutex mutex_;
  bool is_shut_down_ = false;
  uint64_t last_number_ = 0;
  std::map<Address, std::shared_ptr<Mailbox>> mailboxes_;
};

}  // namespace mosskeel
