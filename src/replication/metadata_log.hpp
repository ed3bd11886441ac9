#pragma once
// The local copy of the metadata log: applies entries in order and provides updates for lagging daemons.
#include <deque>

#include "replication/catchup_rate_limiter.hpp"
#include "replication/constants.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// What brings a lagging daemon's log up to date: entries, or a snapshot if the entries are gone or too many.
struct LogUpdates {
  std::optional<Metadata> snapshot;
  Entries entries;
};

/// Applies entries strictly in epoch order and never goes back. Used by one thread and owned by a state machine, which
/// is responsible for persistence.
class MetadataLog {
 public:
  /// The metadata at the newest epoch; an empty value of epoch 0 before the founding is known.
  const MetadataSnapshot& view() const { return view_; }
  Epoch epoch() const { return view_->epoch; }

  /// Adds a decided entry and returns the entries that were applied: none while an earlier entry is missing, otherwise
  /// this entry and those that were waiting for it.
  std::vector<Entry> add(const Entry& entry);
  /// Installs a snapshot if it is newer and belongs to this cluster or to a successor of it by re-foundings. Returns
  /// whether it was installed.
  bool install_snapshot(const Metadata& metadata);
  /// Whether entries are waiting for a missing earlier one.
  bool has_gap() const { return !out_of_order_entries_.empty(); }

  /// Encoded bytes of the entries that are waiting for a missing earlier one.
  size_t waiting_bytes() const { return out_of_order_bytes_; }

  /// What a daemon at epoch `known` lacks.
  LogUpdates updates_since(Epoch known) const;
  /// The same if it is at most `kMaxHeartbeatReplyBytes`, otherwise nothing; a daemon that lacks more requests it.
  LogUpdates small_updates_since(Epoch known) const;
  /// The last applied entries, oldest first.
  const std::deque<Entry>& recent_entries() const { return recent_entries_; }

 private:
  /// An entry that waits for missing earlier ones.
  struct WaitingEntry {
    Entry entry;
    /// Its encoded size in bytes.
    size_t bytes = 0;
  };
  using WaitingEntries = std::map<Epoch, WaitingEntry>;

  /// Returns false if the entry cannot be applied; a decided entry always can.
  bool apply_next(const Entry& entry);
  void keep_recent(const Entry& entry);
  /// Whether an entry that is not the next one may wait for those before it.
  bool has_room_for(size_t entry_bytes) const;
  WaitingEntry take_waiting(WaitingEntries::iterator waiting);

  MetadataSnapshot view_ = std::make_shared<Metadata>();
  /// The last applied entries, limited by `kLogEntriesKept` and `kLogBytesKept`.
  std::deque<Entry> recent_entries_;
  /// Encoded size in bytes of each of `recent_entries_`, and their sum.
  std::deque<size_t> recent_sizes_;
  size_t recent_bytes_ = 0;
  /// Limited by `kLogEntriesKept` and `kLogBytesKept`, except for a single entry and for the next one.
  WaitingEntries out_of_order_entries_;
  size_t out_of_order_bytes_ = 0;
};

}  // namespace mosskeel
