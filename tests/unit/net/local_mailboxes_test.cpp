#include "net/local_mailboxes.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Envelope envelope_to(const Address& address, uint64_t id) {
  Envelope envelope{};
  envelope.to = address;
  envelope.body = QuorumRead{id};
  return envelope;
}

}  // namespace

TEST_CASE("LocalMailboxes delivers each message only to the mailbox of its receiver") {
  LocalMailboxes mailboxes;
  auto first = mailboxes.open();
  auto second = mailboxes.open();
  REQUIRE(first.address != second.address);

  mailboxes.deliver(envelope_to(second.address, 7));

  auto message = second.mailbox->pop(0ms);
  REQUIRE(message);
  CHECK(std::get<QuorumRead>(*message).id == 7);
  CHECK_FALSE(first.mailbox->pop(0ms));
}

TEST_CASE("LocalMailboxes drops messages to a mailbox that is closed") {
  LocalMailboxes mailboxes;
  auto opened = mailboxes.open();

  mailboxes.close(opened.address);
  mailboxes.deliver(envelope_to(opened.address, 7));

  CHECK(mailboxes.size() == 0);
  CHECK_FALSE(opened.mailbox->pop(0ms));
}

TEST_CASE("LocalMailboxes that are shut down end each wait at once, even one that begins later") {
  LocalMailboxes mailboxes;
  auto opened_before = mailboxes.open();
  mailboxes.deliver(envelope_to(opened_before.address, 7));

  mailboxes.shut_down();
  auto opened_after = mailboxes.open();
  mailboxes.deliver(envelope_to(opened_after.address, 8));

  CHECK(opened_before.mailbox->pop(10s));
  CHECK_FALSE(opened_before.mailbox->pop(10s));
  CHECK_FALSE(opened_after.mailbox->pop(10s));
}
