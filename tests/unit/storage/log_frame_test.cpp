// Encoding of sync marks among the records of a log.
#include "storage/log_frame.hpp"

#include "consensus/acceptor.hpp"
#include "history/store_machine.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("A sync mark is read back only for its own segment, and no daemon decodes it as a journal record") {
  constexpr Incarnation incarnation{1};
  constexpr uint64_t sequence = 2;
  constexpr uint64_t synced = 3;

  auto encoded = codec::encode(SyncMark{SyncMark::kMagic, incarnation, sequence, synced});

  CHECK(encoded.size() == SyncMark::kBytes);
  CHECK_FALSE(codec::decode<StoreRecord>(encoded));
  CHECK_FALSE(codec::decode<ControllerRecord>(encoded));
  CHECK(decode_sync_mark(encoded, incarnation, sequence)->synced == synced);
  CHECK_FALSE(decode_sync_mark(encoded, incarnation, sequence + 1));
}
