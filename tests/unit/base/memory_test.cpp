// What a process may use of the machine's memory.
#include "base/memory.hpp"

#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("Without a limit a process may use the machine's memory") {
  auto usage = process_memory(0);

  CHECK(usage.used > 0);
  CHECK(usage.total > usage.used);
}

// Guards against a store that sheds no load until it has used a whole machine, of which it may have a small part.
TEST_CASE("A limit below the machine's memory is what counts") {
  constexpr size_t limit = 1000;

  auto usage = process_memory(limit);

  CHECK(usage.total == limit);
  CHECK(usage.exceeds(0.6));
}

TEST_CASE("A limit above the machine's memory changes nothing") {
  CHECK(process_memory(SIZE_MAX).total == process_memory(0).total);
}
