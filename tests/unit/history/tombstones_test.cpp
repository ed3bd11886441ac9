#include "history/tombstones.hpp"
#include "unit/catch.hpp"

#include <algorithm>

using namespace mosskeel;

TEST_CASE("Tombstones are found until their generation is dropped, and listed in order") {
  constexpr size_t generation_size = 8;
  auto digest_of = [](uint64_t number) {
    return number * 7 % 101;
  };
  Tombstones tombstones;

  for (uint64_t number = 1; number <= 20; ++number)
    tombstones.add(digest_of(number), generation_size);

  CHECK(tombstones.size() <= 2 * generation_size);
  for (uint64_t number = 17; number <= 20; ++number)
    CHECK(tombstones.has(digest_of(number)));
  CHECK_FALSE(tombstones.has(digest_of(1)));
  auto all = tombstones.above(0, 100);
  CHECK(all.size() == tombstones.size());
  CHECK(std::is_sorted(all.begin(), all.end()));
  CHECK(tombstones.above(all[3], 2) == std::vector<uint64_t>{all[4], all[5]});
}
