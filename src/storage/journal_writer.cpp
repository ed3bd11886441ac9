#include "storage/journal_writer.hpp"

namespace mosskeel {

namespace {

size_t bytes_of(const std::vector<std::string>& records) {
  size_t bytes = 0;
  for (const auto& record : records)
    bytes += record.size();
  return bytes;
}

}  // namespace

/// Appends and syncs all pending records, and removes those that became durable.
DiskResult JournalWriter::flush() {
  DiskResult result;
  auto durable_before = disk_.durable_appends();
  for (size_t i = 0; result && i < pending_.size(); ++i)
    result = disk_.append(pending_[i]);
  if (result.kind != DiskResult::failed) {
    if (auto synced = disk_.sync(); !synced)
      result = synced;
  }
  for (auto count = disk_.durable_appends() - durable_before; count > 0; --count) {
    pending_bytes_ -= bytes_of(pending_.front());
    pending_.pop_front();
  }
  return result;
}

DiskResult JournalWriter::write_checkpoint(const std::string& bytes, Written& written) {
  // On a full disk a checkpoint frees space only if it is smaller than the data that it replaces.
  bool frees_space = pending_bytes_ == 0 || bytes.size() < disk_.reclaimable_bytes() + pending_bytes_;
  auto result = frees_space ? disk_.checkpoint(bytes) : DiskResult{DiskResult::full};
  if (result) {
    pending_.clear();
    pending_bytes_ = 0;
    written.notes.push_back({Event::checkpointed, std::to_string(bytes.size()) + " bytes"});
  } else {
    ++unwritten_checkpoints_;
  }
  checkpoint_is_due_ = !result;
  return result;
}

DiskResult JournalWriter::write_batch(Batch batch, Written& written) {
  if (!batch.journal.empty()) {
    pending_bytes_ += bytes_of(batch.journal);
    pending_.push_back(std::move(batch.journal));
  }
  for (auto& message : batch.sends)
    written.sends.push_back(std::move(message));
  if (!batch.checkpoint)
    return written.result;
  auto result = flush();
  if (result.kind != DiskResult::failed)
    result = write_checkpoint(*batch.checkpoint, written);
  return result;
}

void JournalWriter::log_full_change(bool was_full, Written& written) const {
  if (full_ && !was_full)
    written.notes.push_back({Event::disk_full, std::to_string(pending_bytes_) + " bytes are held back"});
  if (!full_ && was_full && written.result)
    written.notes.push_back({Event::disk_room, "after all that was held back"});
}

JournalWriter::Written JournalWriter::write(std::deque<Batch> batches) {
  Written written;
  bool was_full = full_;
  for (auto& batch : batches) {
    written.result = write_batch(std::move(batch), written);
    if (written.result.kind == DiskResult::failed)
      break;
  }
  if (written.result.kind != DiskResult::failed)
    written.result = flush();
  full_ = written.result.kind == DiskResult::full;
  if (!written.result)
    written.sends.clear();
  log_full_change(was_full, written);
  if (full_ && pending_bytes_ > max_pending_bytes_)
    written.result = {DiskResult::failed};
  return written;
}

bool JournalWriter::wants_checkpoint(TimePoint now) {
  bool is_needed = full_ || checkpoint_is_due_;
  if (!is_needed || now < next_checkpoint_)
    return false;
  next_checkpoint_ = now + kFullDiskCheckpointInterval;
  return true;
}

}  // namespace mosskeel
