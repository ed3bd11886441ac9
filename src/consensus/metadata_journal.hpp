#pragma once
// Adds decided entries and snapshots to a controller's metadata log and journal.
#include "consensus/acceptor.hpp"

namespace mosskeel {

/// Applies decided entries to the metadata log, writes them to the journal and opens the acceptor's next instance.
///
/// Invariant: the journal has a record of each entry and snapshot applied to the log, in the same order; after each
/// call messages are stamped with the log's cluster and epoch. Owned by `ControllerMachine` and used on its thread
/// only.
class MetadataJournal {
 public:
  MetadataJournal(Outbox& outbox, MetadataLog& metadata_log, Acceptor& acceptor)
      : outbox_(outbox), metadata_log_(metadata_log), acceptor_(acceptor) {}

  /// Restore persisted state; records must be replayed in the order in which they were written.
  void recover(const DecidedRecord& record);
  void recover(const SnapshotRecord& record);
  /// Makes subsequent messages carry the log's present cluster and epoch.
  void stamp_messages();

  /// Adds an entry decided by this controller's own proposal and broadcasts it once to every daemon, but for large
  /// entries and daemons that are down. A daemon that misses it catches up: the replies to its heartbeats tell it the
  /// newest epoch.
  void add_decided(const Entry& entry);
  /// Adds entries or a snapshot received from other daemons. Returns whether the cluster id has changed.
  bool apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot);

 private:
  void append(const Entry& entry);
  void broadcast(const Entry& entry);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  Acceptor& acceptor_;
};

}  // namespace mosskeel
