#pragma once
// The local copy of the metadata log: entries in order, the value that they make, and what a lagging daemon needs.
#include <deque>

#include "replication/catchup_rate_limiter.hpp"
#include "replication/constants.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// What brings a lagging daemon's log up to date: entries, or a snapshot where the entries are gone or too many.
struct LogUpdates {
  std::optional<Metadata> snapshot;
  Entries entries;
};

/// Applies entries strictly in the order of their epochs and never goes back. Used by one thread, owned by a state
/// machine; what of it is on disk is that machine's matter.
class MetadataLog {
 public:
  /// The value at the newest epoch; a value of epoch 0 before the founding is known.
  const MetadataSnapshot& view() const { return view_; }
  Epoch epoch() const { return view_->epoch; }

  /// Takes one decided entry and returns the entries that could be applied: none while one before it is missing, else
  /// it and those that waited for it.
  std::vector<Entry> add(const Entry& entry);
  /// Takes a whole value if it is newer and of this cluster or what this cluster became by re-foundings. Returns
  /// whether it was.
  bool install_snapshot(const Metadata& metadata);
  /// Whether entries wait for one before them.
  bool has_gap() const { return !waiting_.empty(); }

  /// What a daemon at epoch `known` lacks.
  LogUpdates updates_since(Epoch known) const;
  /// The same where it is at most `kMaxHeartbeatReplyBytes`, else nothing: who lacks more asks for it.
  LogUpdates small_updates_since(Epoch known) const;
  /// The last applied entries, oldest first.
  const std::deque<Entry>& recent_entries() const { return recent_; }

 private:
  /// False where the entry does not apply, which a decided one always does.
  bool apply_next(const Entry& entry);
  void keep_recent(const Entry& entry);

  MetadataSnapshot view_ = std::make_shared<Metadata>();
  /// Within the bounds `kLogEntriesKept` and `kLogBytesKept`.
  std::deque<Entry> recent_;
  /// Encoded size of each of `recent_`, in bytes, and their sum.
  std::deque<size_t> recent_sizes_;
  size_t recent_bytes_ = 0;
  /// Entries beyond the next one.
  std::map<Epoch, Entry> waiting_;
};

}  // namespace mosskeel
