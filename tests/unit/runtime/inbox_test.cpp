#include "runtime/inbox.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("An inbox drops large messages beyond its limit, and accepts them once there is room") {
  Inbox inbox(10000);
  Envelope envelope{};
  envelope.body = Discover{};

  CHECK(inbox.receive(envelope, 6000));
  CHECK_FALSE(inbox.receive(envelope, 6000));
  CHECK(inbox.receive(envelope, Inbox::kSmallMessageBytes));
  CHECK(inbox.dropped() == 1);

  auto items = inbox.take(0ms);
  REQUIRE(items.size() == 2);
  CHECK(inbox.bytes() == 6000 + Inbox::kSmallMessageBytes);
  for (auto& item : items)
    inbox.release(item);
  CHECK(inbox.bytes() == 0);
  CHECK(inbox.receive(envelope, 6000));
}

// Guards against a message that its sender retries forever because it is larger than the whole limit.
TEST_CASE("An inbox accepts a message that is larger than its limit, one at a time") {
  Inbox inbox(10000);
  Envelope envelope{};
  envelope.body = Discover{};

  CHECK(inbox.receive(envelope, 6000));
  CHECK(inbox.receive(envelope, 30000));
  CHECK_FALSE(inbox.receive(envelope, 30000));
  CHECK(inbox.receive(envelope, 4000));
  CHECK_FALSE(inbox.receive(envelope, 4000));
  CHECK(inbox.bytes() == 40000);

  for (auto& item : inbox.take(0ms))
    inbox.release(item);

  CHECK(inbox.bytes() == 0);
  CHECK(inbox.receive(envelope, 30000));
}
