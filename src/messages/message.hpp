#pragma once
// All kinds of messages between daemons, and their envelope.
// Append only: the index of a kind in Message is its number on the wire.
#include "messages/consensus_messages.hpp"
#include "messages/constants.hpp"
#include "messages/history_messages.hpp"
#include "messages/replication_messages.hpp"
#include "messages/request_messages.hpp"
#include "messages/turn_messages.hpp"

namespace mosskeel {

/// The first alternative stands for no message, so that 0 is not a valid kind.
using Message =
    std::variant<std::monostate, Discover, DiscoverReply, Prepare, Promise, Accept, Accepted, Decided, Catchup,
                 CatchupReply, QuorumRead, QuorumReadReply, Commit, CommitReply, Heartbeat, HeartbeatReply,
                 LeaseRequest, LeaseGrant, ReadHistory, ReadHistoryReply, AppendHistory, AppendHistoryReply,
                 StreamPartition, StreamPartitionReply, ProgramRequest, ProgramRequestAcknowledgement,
                 ProgramResponseChunk, ProgramResponse, TransferTurnOutcome, TransferTurnOutcomeReply, ReplicaCall,
                 ReplicaCallChunk, ReplicaCallResponse, CancelReplicaCall, RefoundRequest, QueryTurnRunner,
                 QueryTurnRunnerReply, HistoryExpired, WriteTombstone, PartitionChecksum, PartitionChecksumReply,
                 ListHistories, ListHistoriesReply, FetchHistories, FetchHistoriesReply, ReserveTurn, ReserveTurnReply,
                 CommitTurn, CommitTurnReply, FindChain, FindChainReply, ReadRecords, ReadRecordsReply,
                 LargeHistoryReply, StreamLargeHistory, FetchLargeHistory, AdoptHistory>;

/// A message as sent: `protocol` is kProtocolRevision; `cluster` is 0 before the sender knows one; `epoch` is the
/// latest that the sender knows; `id` is random; `to_incarnation` 0 addresses any incarnation at the address.
struct Envelope {
  MOSSKEEL_FIELDS(Envelope, (uint16_t, protocol), (uint64_t, cluster), (Epoch, epoch), (uint64_t, id), (Address, from),
                  (Incarnation, from_incarnation), (Address, to), (Incarnation, to_incarnation), (Message, body));
};

}  // namespace mosskeel
