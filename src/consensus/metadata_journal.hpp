#pragma once
// How decided entries and snapshots get into a controller's metadata log and journal.
#include "consensus/acceptor.hpp"

namespace mosskeel {

/// Applies what is decided to the metadata log, writes it to the journal and opens the acceptor's next instance.
///
/// Invariant: the journal has a record of each entry and snapshot that the log took, in the same order; after each call
/// messages are stamped with the log's cluster and epoch. Owned by `ControllerMachine` and used on its thread only.
class MetadataJournal {
 public:
  MetadataJournal(Outbox& outbox, MetadataLog& metadata_log, Acceptor& acceptor)
      : outbox_(outbox), metadata_log_(metadata_log), acceptor_(acceptor) {}

  /// Take up what an earlier process kept on disk, in the order in which it was written.
  void recover(const DecidedRecord& record);
  void recover(const SnapshotRecord& record);
  /// Stamps the messages that follow with the cluster and the epoch of the log as it is now.
  void stamp_messages();

  /// Takes an entry of this controller's own proposal, and sends it to every daemon once; who misses it catches up.
  void add_decided(const Entry& entry);
  /// Takes entries or a snapshot that others have decided. Returns whether the cluster is another one now.
  bool apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot);

 private:
  void append(const Entry& entry);
  void broadcast(const Entry& entry);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  Acceptor& acceptor_;
};

}  // namespace mosskeel
