#pragma once
// How the metadata log reaches every daemon, and the heartbeats that carry it.
#include "messages/consensus_messages.hpp"

namespace mosskeel {

/// The design's single push of a new entry.
struct Decided {
  BOOST_HANA_DEFINE_STRUCT(Decided, (Entry, entry));
};

struct Catchup {
  BOOST_HANA_DEFINE_STRUCT(Catchup, (Epoch, known));
};

struct CatchupReply {
  BOOST_HANA_DEFINE_STRUCT(CatchupReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries));
};

/// A daemon's sign of life; an agent's speaks for its gateway too.
struct Heartbeat {
  BOOST_HANA_DEFINE_STRUCT(Heartbeat, (Candidate, self), (Epoch, known), (uint32_t, load), (Epoch, streamed),
                           (uint32_t, running), (int64_t, sent), (bool, leaving), (uint32_t, incomplete_comparisons));
};

struct HeartbeatReply {
  BOOST_HANA_DEFINE_STRUCT(HeartbeatReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries),
                           (int64_t, touched_ms), (bool, confirmed), (int64_t, sent));
};

}  // namespace mosskeel
