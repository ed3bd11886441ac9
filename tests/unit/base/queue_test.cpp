#include "base/queue.hpp"

#include <thread>

#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("A closed queue returns its remaining items and rejects new ones") {
  Queue<int> queue;
  REQUIRE(queue.push(1));

  queue.close();

  CHECK_FALSE(queue.push(2));
  CHECK(queue.pop(0ms) == 1);
  CHECK_FALSE(queue.pop(0ms));
}

TEST_CASE("Closing a queue wakes threads that wait for an item") {
  Queue<int> queue;
  std::thread closer([&] { queue.close(); });

  auto item = queue.pop(10s);

  closer.join();
  CHECK_FALSE(item);
}
