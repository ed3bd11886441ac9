#pragma once
// What daemons say to each other. Append only: the index in Message is the kind on the wire.
#include "base/codec.hpp"
#include "messages/turn_messages.hpp"
#include "metadata/rejection.hpp"

namespace mosskeel {

struct Ballot {
  BOOST_HANA_DEFINE_STRUCT(Ballot, (uint64_t, round), (uint64_t, proposer));
  auto operator<=>(const Ballot&) const = default;
};
using Candidates = std::vector<Candidate>;
using Addresses = std::vector<Address>;
using Entries = std::vector<Entry>;

struct Discover {
  BOOST_HANA_DEFINE_STRUCT(Discover, (Candidate, self));
};
/// Who is here: a founded daemon names the core, an unfounded controller its fellow candidates.
struct DiscoverReply {
  BOOST_HANA_DEFINE_STRUCT(DiscoverReply, (Candidate, self), (uint64_t, cluster), (Epoch, epoch), (Addresses, core),
                           (Candidates, candidates));
};
struct Prepare {
  BOOST_HANA_DEFINE_STRUCT(Prepare, (Epoch, epoch), (Ballot, ballot));
};
/// A proposal that an acceptor has accepted.
struct AcceptedProposal {
  BOOST_HANA_DEFINE_STRUCT(AcceptedProposal, (Ballot, ballot), (Entry, entry));
};
struct Promise {
  BOOST_HANA_DEFINE_STRUCT(Promise, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised),
                           (std::optional<AcceptedProposal>, accepted));
};
struct Accept {
  BOOST_HANA_DEFINE_STRUCT(Accept, (Ballot, ballot), (Entry, entry));
};
struct Accepted {
  BOOST_HANA_DEFINE_STRUCT(Accepted, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised));
};
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
struct QuorumRead {
  BOOST_HANA_DEFINE_STRUCT(QuorumRead, (uint64_t, id));
};
struct QuorumReadReply {
  BOOST_HANA_DEFINE_STRUCT(QuorumReadReply, (uint64_t, id), (Epoch, epoch), (bool, open));
};
/// What became of a commit: in the log and in force, refused at an epoch that a majority confirmed, or neither is known.
enum class CommitOutcome : uint8_t { committed, rejected, unknown };
enum class Outcome : uint8_t { yes, no, unknown };
/// `patience` (ms, 0 for a controller's own) ends before its asker turns to another controller: it is not proposed
/// later.
struct Commit {
  BOOST_HANA_DEFINE_STRUCT(Commit, (std::string, id), (Transformation, change), (Epoch, known_epoch), (int64_t, timeout_ms));
};
/// `rejection` says why it is a no, at `epoch`, which a majority has confirmed as the newest since the commit came.
struct CommitReply {
  BOOST_HANA_DEFINE_STRUCT(CommitReply, (std::string, id), (CommitOutcome, outcome), (std::string, reason), (Epoch, epoch),
                           (std::optional<Metadata>, checkpoint), (Entries, entries), (Rejection, rejection));
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
/// Time since each daemon's last heartbeat (ms), as one controller has received them.
using HeartbeatAges = std::map<DaemonId, int64_t>;
struct LeaseRequest {
  BOOST_HANA_DEFINE_STRUCT(LeaseRequest, (uint64_t, request_id));
};
struct LeaseGrant {
  BOOST_HANA_DEFINE_STRUCT(LeaseGrant, (uint64_t, request_id), (bool, granted), (HeartbeatAges, heartbeat_ages));
};

/// A `reservation` of a turn's tokens is committed before its dispatch, its `outcome` before success is reported; `ended` closes the history.
enum class RecordKind : uint8_t { reservation, outcome, ended };
struct Record {
  BOOST_HANA_DEFINE_STRUCT(Record, (RecordKind, kind), (std::string, key), (std::string, thread),
                           (uint64_t, body_digest), (uint64_t, tokens), (uint32_t, turn), (uint32_t, status),
                           (DaemonId, runner), (int64_t, retention_ms), (std::string, input), (std::string, output),
                           (std::string, parent));
  bool operator==(const Record&) const = default;
};
using Records = std::vector<Record>;
struct HistoryName {
  BOOST_HANA_DEFINE_STRUCT(HistoryName, (std::string, cell), (std::string, program));
  auto operator<=>(const HistoryName&) const = default;
};
struct ReadHistory {
  BOOST_HANA_DEFINE_STRUCT(ReadHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};
struct ReadHistoryReply {
  BOOST_HANA_DEFINE_STRUCT(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (Epoch, history_term),
                           (bool, has_tombstone), (Records, records));
};
/// Appends the records at the index `from`, or with `replace` replaces the whole history by them.
struct AppendHistory {
  BOOST_HANA_DEFINE_STRUCT(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term), (bool, replace), (uint64_t, from),
                           (Records, records));
};
struct AppendHistoryReply {
  BOOST_HANA_DEFINE_STRUCT(AppendHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (bool, gap),
                           (uint64_t, length));
};
/// A store tells the owner that, by its own clock, the history of this length has outlived its retention.
struct HistoryExpired {
  BOOST_HANA_DEFINE_STRUCT(HistoryExpired, (HistoryName, history), (PartitionId, partition), (uint64_t, length));
};
/// The history has ended for good: the store deletes its records and keeps a tombstone of its name.
struct WriteTombstone {
  BOOST_HANA_DEFINE_STRUCT(WriteTombstone, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};
struct StreamPartition {
  BOOST_HANA_DEFINE_STRUCT(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after), (uint64_t, tombstone));
};
struct HistoryCopy {
  BOOST_HANA_DEFINE_STRUCT(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};
struct StreamPartitionReply {
  BOOST_HANA_DEFINE_STRUCT(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after), (uint64_t, tombstone),
                           (Epoch, fence), (std::vector<HistoryCopy>, histories), (std::vector<uint64_t>, tombstones),
                           (bool, more));
};

/// Anti-entropy: stores compare their partitions' histories in the background and fetch what they lack.
struct PartitionChecksum {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksum, (PartitionId, partition), (Epoch, changed), (uint64_t, checksum));
};
struct PartitionChecksumReply {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksumReply, (PartitionId, partition), (Epoch, changed), (bool, equal));
};
struct ListHistories {
  BOOST_HANA_DEFINE_STRUCT(ListHistories, (PartitionId, partition), (HistoryName, after));
};
struct HistorySummary {
  BOOST_HANA_DEFINE_STRUCT(HistorySummary, (HistoryName, history), (Epoch, term), (uint64_t, length));
};
struct ListHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(ListHistoriesReply, (PartitionId, partition), (HistoryName, after), (std::vector<HistorySummary>, summaries),
                           (bool, more));
};
struct FetchHistories {
  BOOST_HANA_DEFINE_STRUCT(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};
struct FetchHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// A caller's request, from HTTP or proxied by another gateway.
struct ProgramRequest {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequest, (std::string, attempt), (std::string, cell), (std::string, route),
                           (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                           (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                           (uint64_t, max_tokens), (std::optional<uint32_t>, expected_turns), (bool, urgent), (bool, bulk),
                           (bool, idempotent), (int64_t, deadline_ms));
};
struct ProgramRequestAcknowledgement {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequestAcknowledgement, (std::string, attempt));
};
struct ProgramResponseChunk {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponseChunk, (std::string, attempt), (uint32_t, index), (std::string, text));
};
/// The last word on a request. `ran` is what is known of it: no, yes, or unknown.
struct ProgramResponse {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponse, (std::string, attempt), (uint32_t, status), (Outcome, executed),
                           (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                           (uint32_t, retry_ms), (bool, wrong_owner), (uint32_t, chunks));
};
/// The outcome of a turn that was running when its slot moved.
struct TransferTurnOutcome {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};
struct TransferTurnOutcomeReply {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcomeReply, (std::string, attempt), (Outcome, outcome));
};
/// What the gateway asks of a replica, and hears from it.
struct ReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCall, (std::string, attempt), (std::string, kind), (std::string, url),
                           (std::string, method), (std::string, body), (int64_t, deadline_ms), (bool, idempotent));
};
struct ReplicaCallChunk {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallChunk, (std::string, attempt), (uint32_t, index), (std::string, text),
                           (uint64_t, tokens));
};
/// `sent` tells whether anything may have reached the replica; `sealed` its own closing word.
struct ReplicaCallResponse {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallResponse, (std::string, attempt), (bool, request_sent), (uint32_t, status), (bool, complete),
                           (uint32_t, chunks), (uint64_t, tokens), (uint64_t, checksum), (std::string, body),
                           (std::string, reason));
};
struct CancelReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(CancelReplicaCall, (std::string, attempt));
};
/// Asks the front that wrote a reservation whether it still runs it; only its own word counts.
struct QueryTurnRunner {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunner, (HistoryName, history), (std::string, key));
};
struct QueryTurnRunnerReply {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunnerReply, (HistoryName, history), (std::string, key), (bool, running));
};
/// The operator's word that these core members are lost for good.
struct RefoundRequest {
  BOOST_HANA_DEFINE_STRUCT(RefoundRequest, (std::string, id), (std::vector<DaemonId>, lost));
};

using Message =
    std::variant<std::monostate, Discover, DiscoverReply, Prepare, Promise, Accept, Accepted, Decided, Catchup,
                 CatchupReply, QuorumRead, QuorumReadReply, Commit, CommitReply, Heartbeat, HeartbeatReply,
                 LeaseRequest, LeaseGrant, ReadHistory, ReadHistoryReply, AppendHistory, AppendHistoryReply, StreamPartition,
                 StreamPartitionReply, ProgramRequest, ProgramRequestAcknowledgement, ProgramResponseChunk, ProgramResponse, TransferTurnOutcome, TransferTurnOutcomeReply, ReplicaCall,
                 ReplicaCallChunk, ReplicaCallResponse, CancelReplicaCall, RefoundRequest, QueryTurnRunner, QueryTurnRunnerReply, HistoryExpired, WriteTombstone, PartitionChecksum,
                 PartitionChecksumReply, ListHistories, ListHistoriesReply, FetchHistories, FetchHistoriesReply, ReserveTurn, ReserveTurnReply, CommitTurn,
                 CommitTurnReply, FindChain, FindChainReply>;

/// A framed message: kind and body are the variant, the rest is what every daemon checks first.
struct Envelope {
  BOOST_HANA_DEFINE_STRUCT(Envelope, (uint16_t, protocol), (uint64_t, cluster), (Epoch, epoch), (uint64_t, id),
                           (Address, from), (Incarnation, from_inc), (Address, to), (Incarnation, to_inc),
                           (Message, body));
};

}  // namespace mosskeel
