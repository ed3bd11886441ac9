// Tests of the bounds of what a metadata log holds.
#include "replication/metadata_log.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Entry large_entry(uint64_t epoch, size_t bytes) {
  Configuration configuration{};
  Path path{};
  path.name = std::string(bytes, 'p');
  configuration.paths.push_back(std::move(path));
  return {Epoch{epoch}, "change-" + std::to_string(epoch), ApplyConfiguration{{}, std::move(configuration), {}}};
}

}  // namespace

// Guards against a bound by the number of entries: 512 configurations that wait for one lost entry fill any memory.
TEST_CASE("A metadata log holds a bounded number of bytes of entries that wait for a missing one") {
  constexpr size_t kEntryBytes = 300u << 10;
  MetadataLog log;

  for (uint64_t epoch = 3; epoch < 100; ++epoch)
    log.add(large_entry(epoch, kEntryBytes));

  CHECK(log.has_gap());
  CHECK(log.waiting_bytes() > kEntryBytes);
  CHECK(log.waiting_bytes() <= kLogBytesKept);
}

// Guards against a gap that nobody notices because the entry after it is larger than the bound.
TEST_CASE("A metadata log notices the gap before an entry that is larger than its bound") {
  MetadataLog log;

  log.add(large_entry(3, kLogBytesKept + 1));
  auto bytes = log.waiting_bytes();
  log.add(large_entry(4, 100));

  CHECK(log.has_gap());
  CHECK(bytes > kLogBytesKept);
  CHECK(log.waiting_bytes() == bytes);
}
