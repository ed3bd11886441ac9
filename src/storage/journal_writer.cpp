#include "storage/journal_writer.hpp"
#include "storage/constants.hpp"

namespace mosskeel {

namespace {

size_t bytes_of(const std::vector<std::string>& v) {
  size_t n = 0;
  for (auto& s : v)
    n += s.size();
  return n;
}

}  // namespace

DiskResult JournalWriter::flush() {
  DiskResult r;
  auto before = disk_.durable();
  for (size_t i = 0; r && i < held_.size(); ++i)
    r = disk_.append(held_[i]);
  if (r.kind != DiskResult::failed)
    if (auto s = disk_.sync(); !s)
      r = s;
  for (auto n = disk_.durable() - before; n; --n) {
    held_bytes_ -= bytes_of(held_.front());
    held_.pop_front();
  }
  return r;
}

DiskResult JournalWriter::checkpoint(const std::string& bytes, Written& w) {
  bool worth = !held_bytes_ || bytes.size() < disk_.kept() + held_bytes_;
  auto r = worth ? disk_.checkpoint(bytes) : DiskResult{DiskResult::full};
  if (r) {
    held_.clear();
    held_bytes_ = 0;
    w.notes.push_back({Event::checkpointed, std::to_string(bytes.size()) + " bytes"});
  } else {
    ++unwritten_;
  }
  wants_ = !r;
  return r;
}

JournalWriter::Written JournalWriter::write(std::deque<Batch> v) {
  Written w;
  bool was = full_;
  for (auto& b : v) {
    if (!b.journal.empty()) {
      held_bytes_ += bytes_of(b.journal);
      held_.push_back(std::move(b.journal));
    }
    for (auto& e : b.sends)
      w.sends.push_back(std::move(e));
    if (!b.checkpoint)
      continue;
    w.result = flush();
    if (w.result.kind != DiskResult::failed)
      w.result = checkpoint(*b.checkpoint, w);
    if (w.result.kind == DiskResult::failed)
      break;
  }
  if (w.result.kind != DiskResult::failed)
    w.result = flush();
  full_ = w.result.kind == DiskResult::full;
  if (!w.result)
    w.sends.clear();
  if (full_ && !was)
    w.notes.push_back({Event::disk_full, std::to_string(held_bytes_) + " bytes are held back"});
  if (!full_ && was && w.result)
    w.notes.push_back({Event::disk_room, "after all that was held back"});
  if (full_ && held_bytes_ > most_)
    w.result = {DiskResult::failed};
  return w;
}

bool JournalWriter::wants_checkpoint(Millis now) {
  if ((!full_ && !wants_) || now < next_checkpoint_)
    return false;
  next_checkpoint_ = now + kFullDiskCheckpointInterval;
  return true;
}

}  // namespace mosskeel
