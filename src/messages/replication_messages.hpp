#pragma once
// How the metadata log reaches every daemon, and the heartbeats that carry it.
#include "messages/consensus_messages.hpp"

namespace mosskeel {

/// Pushes a newly chosen entry, once, to every daemon in the directory.
struct Decided {
  MOSSKEEL_FIELDS(Decided, (Entry, entry));
};

/// Asks for what follows the epoch `known`.
struct Catchup {
  MOSSKEEL_FIELDS(Catchup, (Epoch, known));
};

/// Entries after the epoch asked for, or a snapshot of the metadata where those entries are gone or too many; `epoch`
/// is the newest that the sender has.
struct CatchupReply {
  MOSSKEEL_FIELDS(CatchupReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries));
};

/// A daemon's heartbeat; an agent's speaks for its gateway too. `known` is the epoch that it has, `streamed` the
/// epoch up to whose placement a store holds its partitions completely, `load` and `running` its present work, `sent`
/// its own clock at the sending (ms; the reply returns it), `leaving` that it shuts down, `incomplete_comparisons`
/// how many of a store's partitions are not compared with their peers yet.
struct Heartbeat {
  MOSSKEEL_FIELDS(Heartbeat, (DaemonInfo, self), (Epoch, known), (uint32_t, load), (Epoch, streamed),
                  (uint32_t, running), (int64_t, sent), (bool, leaving), (uint32_t, incomplete_comparisons));
};

/// The reply: `sent` is the heartbeat's, so that contact counts from the sending. `touched_ms` is how long ago the
/// replier itself was in contact with a majority, `confirmed` whether a majority of the core has shown no later epoch
/// than the sender's.
struct HeartbeatReply {
  MOSSKEEL_FIELDS(HeartbeatReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries),
                  (int64_t, touched_ms), (bool, confirmed), (int64_t, sent));
};

}  // namespace mosskeel
