#pragma once
// Replication of the metadata log to all daemons, and heartbeats, whose replies carry log entries.
#include "messages/consensus_messages.hpp"

namespace mosskeel {

/// Pushes a newly chosen entry to every daemon in the directory. Not retried.
struct Decided {
  MOSSKEEL_FIELDS(Decided, (Entry, entry));
};

/// Requests the log entries after the epoch `known`.
struct Catchup {
  MOSSKEEL_FIELDS(Catchup, (Epoch, known));
};

/// The entries after the requested epoch, or a snapshot of the metadata if those entries were discarded or are too
/// many; `epoch` is the newest that the sender has.
struct CatchupReply {
  MOSSKEEL_FIELDS(CatchupReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries));
};

/// A daemon's heartbeat; an agent's heartbeat also covers its gateway. `known` is the sender's epoch; `streamed` is the
/// epoch up to whose placement a store has streamed its partitions completely; `load` and `running` are the current
/// work; `sent` is the sender's clock when it sent this (ms; the reply echoes it); `leaving` means that it is shutting
/// down; `incomplete_comparisons` counts a store's comparisons of partitions with peers that have not finished yet.
struct Heartbeat {
  MOSSKEEL_FIELDS(Heartbeat, (DaemonInfo, self), (Epoch, known), (uint32_t, load), (Epoch, streamed),
                  (uint32_t, running), (int64_t, sent), (bool, leaving), (uint32_t, incomplete_comparisons));
};

/// The reply to Heartbeat. `sent` is echoed, so that contact is dated from the time of sending. `touched_ms` is the
/// time since the replier itself was in contact with a majority; `confirmed` is whether a majority of the core has
/// reported no later epoch than the sender's.
struct HeartbeatReply {
  MOSSKEEL_FIELDS(HeartbeatReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries),
                  (int64_t, touched_ms), (bool, confirmed), (int64_t, sent));
};

}  // namespace mosskeel
