#include "runtime/inbox.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("An inbox drops large messages beyond its bound, and takes them once there is room") {
  Inbox inbox(10000);
  Envelope envelope{};
  envelope.body = Discover{};

  CHECK(inbox.hear(envelope, 6000));
  CHECK_FALSE(inbox.hear(envelope, 6000));
  CHECK(inbox.hear(envelope, Inbox::kSmallMessageBytes));
  CHECK(inbox.refused() == 1);

  auto items = inbox.take(0ms);
  REQUIRE(items.size() == 2);
  CHECK(inbox.bytes() == 6000 + Inbox::kSmallMessageBytes);
  for (auto& item : items)
    inbox.done(item);
  CHECK(inbox.bytes() == 0);
  CHECK(inbox.hear(envelope, 6000));
}

// Guards against a message that is sent again for ever, since no room is ever large enough for it.
TEST_CASE("An inbox takes a message that is larger than its bound, one at a time") {
  Inbox inbox(10000);
  Envelope envelope{};
  envelope.body = Discover{};

  CHECK(inbox.hear(envelope, 6000));
  CHECK(inbox.hear(envelope, 30000));
  CHECK_FALSE(inbox.hear(envelope, 30000));
  CHECK(inbox.hear(envelope, 4000));
  CHECK_FALSE(inbox.hear(envelope, 4000));
  CHECK(inbox.bytes() == 40000);

  for (auto& item : inbox.take(0ms))
    inbox.done(item);

  CHECK(inbox.bytes() == 0);
  CHECK(inbox.hear(envelope, 30000));
}
