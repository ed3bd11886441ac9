#pragma once
// A controller's persistent state: its journal records and its checkpoint. The order of fields and of alternatives is
// the format on disk.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// The acceptor promised to reject proposals below `ballot` in the instance of `epoch`.
struct PromiseRecord {
  MOSSKEEL_FIELDS(PromiseRecord, (Epoch, epoch), (Ballot, ballot));
};

/// The acceptor accepted this proposal in the instance of the entry's epoch.
struct AcceptRecord {
  MOSSKEEL_FIELDS(AcceptRecord, (Ballot, ballot), (Entry, entry));
};

/// The entry was decided and applied to the metadata log.
struct DecidedRecord {
  MOSSKEEL_FIELDS(DecidedRecord, (Entry, entry));
};

/// A metadata snapshot replaced the log up to the snapshot's epoch.
struct SnapshotRecord {
  MOSSKEEL_FIELDS(SnapshotRecord, (Metadata, metadata));
};

/// The addresses whose controllers may found the cluster: the seeds that were configured at the first start.
struct FoundersRecord {
  MOSSKEEL_FIELDS(FoundersRecord, (Addresses, addresses));
};

/// Append only: the index of an alternative is stored on disk.
using ControllerRecord = std::variant<PromiseRecord, AcceptRecord, DecidedRecord, SnapshotRecord, FoundersRecord>;

/// Replaces all journal records before it. `open` is the epoch of the Paxos instance that `promised` and `accepted`
/// belong to. `recent` is always empty; it is kept for compatibility of the format.
struct ControllerCheckpoint {
  MOSSKEEL_FIELDS(ControllerCheckpoint, (Metadata, metadata), (Entries, recent), (Epoch, open), (Ballot, promised),
                  (std::optional<AcceptedProposal>, accepted));
};

}  // namespace mosskeel
