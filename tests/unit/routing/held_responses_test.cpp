// Tests that the bytes of held responses are added up, and that the limits fit the process's memory.
#include "routing/held_responses.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using namespace mosskeel::routing;

namespace {

bool any(RequestId) {
  return true;
}

}  // namespace

TEST_CASE("HeldResponses counts each request once, and forgets those that hold nothing") {
  HeldResponses held(1000);

  held.update(1, 300);
  held.update(2, 100);
  held.update(1, 400);
  CHECK(held.bytes() == 500);
  CHECK(held.largest(any) == 1);
  CHECK(held.largest([](RequestId request) { return request != 1; }) == 2);
  CHECK_FALSE(held.is_scarce());

  held.update(2, 601);
  CHECK(held.is_scarce());
  CHECK(held.exceeds_limit());
  CHECK(held.largest(any) == 2);

  held.update(1, 0);
  held.update(2, 0);
  held.update(3, 0);
  CHECK(held.bytes() == 0);
  CHECK(held.largest(any) == 0);
}

TEST_CASE("ResponseLimits leave room for the copies of a turn's output on its way to the stores") {
  constexpr size_t kCopies = 6;
  for (size_t memory : {size_t{64} << 20, size_t{220} << 20, size_t{1} << 30}) {
    auto limits = ResponseLimits::for_memory(memory);

    CHECK(limits.total_bytes * kCopies < memory / 2);
    CHECK(limits.turn_output_bytes <= limits.total_bytes / 2);
    CHECK(limits.turn_output_bytes >= size_t{1} << 20);
  }
}
