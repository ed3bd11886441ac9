#include "history/store_journal.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "runtime/constants.hpp"
#include "storage/constants.hpp"

namespace mosskeel {

void StoreJournal::append(const StoreRecord& record) {
  auto bytes = codec::encode(record);
  bytes_since_checkpoint_ += bytes.size();
  out_.write(std::move(bytes));
}

/// The limit is the last checkpoint's size: checkpoints then write about as many bytes as the journal, and recovery
/// reads at most twice the size of the state.
bool StoreJournal::checkpoint_due() const {
  auto limit = std::clamp(checkpoint_bytes_, kMinCheckpointJournalBytes, kCheckpointJournalBytes);
  return bytes_since_checkpoint_ > limit;
}

size_t StoreJournal::expected_checkpoint_bytes() const {
  return checkpoint_bytes_ + bytes_since_checkpoint_ + kSegmentBytes / 16;
}

}  // namespace mosskeel
