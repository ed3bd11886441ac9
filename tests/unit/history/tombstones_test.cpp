// Retention and listing of tombstones.
#include "history/tombstones.hpp"
#include "unit/catch.hpp"

#include <algorithm>

using namespace mosskeel;

namespace {

constexpr size_t kGenerationSize = 8;
constexpr uint64_t kTombstones = 20;

/// Digests that are not in the order of their numbers.
uint64_t digest_of(uint64_t number) {
  return number * 7 % 101;
}

/// Tombstones added in sequence, enough to fill two generations and start a third.
Tombstones numbered_tombstones() {
  Tombstones tombstones;
  for (uint64_t number = 1; number <= kTombstones; ++number)
    tombstones.add(digest_of(number), kGenerationSize);
  return tombstones;
}

}  // namespace

TEST_CASE("A tombstone is found until its generation is dropped") {
  auto tombstones = numbered_tombstones();

  CHECK(tombstones.size() <= 2 * kGenerationSize);
  for (uint64_t number = 17; number <= kTombstones; ++number)
    CHECK(tombstones.has(digest_of(number)));
  CHECK_FALSE(tombstones.has(digest_of(1)));
}

TEST_CASE("Tombstones are listed in the order of their digests, page by page") {
  auto tombstones = numbered_tombstones();

  auto all = tombstones.above(0, 100);

  CHECK(all.size() == tombstones.size());
  CHECK(std::is_sorted(all.begin(), all.end()));
  CHECK(tombstones.above(all[3], 2) == std::vector<uint64_t>{all[4], all[5]});
}
