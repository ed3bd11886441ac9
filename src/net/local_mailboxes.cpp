#include "net/local_mailboxes.hpp"

namespace mosskeel {

LocalMailboxes::Opened LocalMailboxes::open() {
  std::lock_guard lock(mutex_);
  auto address = "local:" + std::to_string(++last_number_);
  auto mailbox = std::make_shared<Mailbox>();
  if (is_shut_down_) {
    mailbox->close();
  }
  mailboxes_[address] = mailbox;
  return {address, mailbox};
}

void LocalMailboxes::close(const Address& address) {
  std::lock_guard lock(mutex_);
  mailboxes_.erase(address);
}

void LocalMailboxes::deliver(const Envelope& envelope) {
  std::shared_ptr<Mailbox> mailbox;
  {
    std::lock_guard lock(mutex_);
    auto found = mailboxes_.find(envelope.to);
    if (found == mailboxes_.end()) {
      return;
    }
    mailbox = found->second;
  }
  mailbox->push(envelope.body);
}

void LocalMailboxes::shut_down() {
  std::lock_guard lock(mutex_);
  is_shut_down_ = true;
  for (auto& [_, mailbox] : mailboxes_) {
    mailbox->close();
  }
}

size_t LocalMailboxes::size() const {
  std::lock_guard lock(mutex_);
  return mailboxes_.size();
}

}  // namespace mosskeel
