// Tests of the bounds of what is held for peers that do not take their messages.
#include "net/send_queues.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kAway = "127.0.0.1:1";
constexpr const char* kOther = "127.0.0.1:2";

std::string message(char label, size_t bytes) {
  return std::string(bytes, label);
}

/// The labels of the peer's queued messages, oldest first.
std::string take_labels(SendQueues& queues, const Address& peer) {
  std::string labels;
  while (auto taken = queues.pop(peer))
    labels += taken->front();
  return labels;
}

}  // namespace

TEST_CASE("SendQueues returns the messages of each peer in order") {
  SendQueues queues({1000, 2000});

  CHECK(queues.push(kAway, message('a', 10)) == 0);
  CHECK(queues.push(kOther, message('x', 20)) == 0);
  CHECK(queues.push(kAway, message('b', 30)) == 0);

  CHECK(queues.bytes() == 60);
  CHECK(queues.bytes_for(kAway) == 40);
  CHECK(take_labels(queues, kAway) == "ab");
  CHECK(take_labels(queues, kOther) == "x");
  CHECK(queues.is_empty(kAway));
  CHECK(queues.bytes() == 0);
}

// Guards against review case 8: a queue of 1,024 messages held as many whole configurations for a peer that was gone.
TEST_CASE("SendQueues holds a bounded number of bytes for a peer that is away, and keeps the newest messages") {
  SendQueues queues({100, 1000});

  size_t discarded = 0;
  for (char label = 'a'; label <= 'z'; ++label) {
    discarded += queues.push(kAway, message(label, 40));
    CHECK(queues.bytes() <= 100);
  }

  CHECK(discarded == 24);
  CHECK(take_labels(queues, kAway) == "yz");
}

TEST_CASE("SendQueues keeps the newest message even if it is larger than the limits") {
  SendQueues queues({100, 200});
  queues.push(kAway, message('a', 40));

  CHECK(queues.push(kAway, message('b', 500)) == 1);
  CHECK(queues.push(kAway, message('c', 300)) == 1);

  CHECK(queues.bytes() == 300);
  CHECK(take_labels(queues, kAway) == "c");
}

// Guards against limits that hold for each peer and not for many peers that are away at once.
TEST_CASE("SendQueues holds a bounded number of bytes for all peers, and discards those of the largest queue") {
  SendQueues queues({100, 400});
  for (int peer = 0; peer < 50; ++peer) {
    auto address = "127.0.0.1:" + std::to_string(100 + peer);
    for (int i = 0; i < 5; ++i) {
      queues.push(address, message('a', 30));
      CHECK(queues.bytes() <= 400);
    }
  }

  queues.push(kOther, message('x', 10));
  queues.push(kOther, message('y', 10));

  CHECK(queues.bytes() <= 400);
  CHECK(take_labels(queues, kOther) == "xy");
}

TEST_CASE("SendQueueLimits follow the memory of the process") {
  auto small = SendQueueLimits::for_memory(48u << 20);
  auto core = SendQueueLimits::for_memory(256u << 20);
  auto unknown = SendQueueLimits::for_memory(0);

  CHECK(small.total_bytes == 6u << 20);
  CHECK(core.total_bytes == 32u << 20);
  CHECK(core.peer_bytes == 16u << 20);
  CHECK(unknown.total_bytes == 64u << 20);
  CHECK(SendQueueLimits::for_memory(1).total_bytes == 4u << 20);
}
