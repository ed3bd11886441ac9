#pragma once
// Messages between the owners of programs and the stores of their histories.
#include "base/codec.hpp"

namespace mosskeel {

/// What is known about an event: it happened, it did not happen and never will, or unknown.
enum class Outcome : uint8_t { yes, no, unknown };

/// A turn's `reservation` of tokens is committed before the turn is dispatched, its `outcome` before success is
/// reported; `ended` closes the history.
enum class RecordKind : uint8_t { reservation, outcome, ended };

/// A record of a history. `key` identifies the turn, `thread` the sub-agent; `body_digest` distinguishes a retry from
/// another request with the same key; `tokens` are reserved or spent; `turn` counts the history's turns; `status` is
/// the HTTP status of an outcome; `runner` is the gateway that dispatches the turn; `parent` is the turn that it
/// continues.
struct Record {
  MOSSKEEL_FIELDS(Record, (RecordKind, kind), (std::string, key), (std::string, thread), (uint64_t, body_digest),
                  (uint64_t, tokens), (uint32_t, turn), (uint32_t, status), (DaemonId, runner), (int64_t, retention_ms),
                  (std::string, input), (std::string, output), (std::string, parent));
  bool operator==(const Record&) const = default;
};
using Records = std::vector<Record>;

/// Identifies a history in a cluster.
struct HistoryName {
  MOSSKEEL_FIELDS(HistoryName, (std::string, cell), (std::string, program));
  auto operator<=>(const HistoryName&) const = default;
};

/// The owner reads a history from a store under its term. The store raises its fence to the term: it rejects lower
/// terms from then on.
struct ReadHistory {
  MOSSKEEL_FIELDS(ReadHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// The reply to ReadHistory; `term` is that of the request. Not `granted`: the store is fenced at a higher term, or the
/// sender does not own the partition. `history_term` is the term under which the whole history was last written.
struct ReadHistoryReply {
  MOSSKEEL_FIELDS(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (Epoch, history_term),
                  (bool, has_tombstone), (Records, records));
};

/// Appends the records at index `from` or, with `replace`, replaces the whole history by them.
struct AppendHistory {
  MOSSKEEL_FIELDS(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term), (bool, replace),
                  (uint64_t, from), (Records, records));
};

/// The reply to AppendHistory, sent once the records are durable; `length` is the store's number of records. `gap`
/// means that it lacks records before `from`, or has the history under another term: the owner then sends the whole
/// history.
struct AppendHistoryReply {
  MOSSKEEL_FIELDS(AppendHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (bool, gap),
                  (uint64_t, length));
};

/// A store reports to the owner that, by its own clock, the history of this length has exceeded its retention period.
struct HistoryExpired {
  MOSSKEEL_FIELDS(HistoryExpired, (HistoryName, history), (PartitionId, partition), (uint64_t, length));
};

/// The history has ended permanently: the store deletes its records and keeps a tombstone for its name.
struct WriteTombstone {
  MOSSKEEL_FIELDS(WriteTombstone, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// A store that is about to hold a partition requests a page of it: histories after the name `after`, tombstones after
/// the digest `after_tombstone`. `sequence` is the epoch of the move.
struct StreamPartition {
  MOSSKEEL_FIELDS(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone));
};

/// A store's complete replica of a history.
struct HistoryCopy {
  MOSSKEEL_FIELDS(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};

/// One page of a partition. `fence` is the sender's fence; `more` means that another page follows.
struct StreamPartitionReply {
  MOSSKEEL_FIELDS(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                  (std::vector<uint64_t>, tombstones), (bool, more));
};

/// Anti-entropy: a store sends the checksum of a partition's histories to a peer; `stores_epoch` is the epoch of the
/// store set under which it was computed.
struct PartitionChecksum {
  MOSSKEEL_FIELDS(PartitionChecksum, (PartitionId, partition), (Epoch, stores_epoch), (uint64_t, checksum));
};

/// Whether the peer has the same checksum.
struct PartitionChecksumReply {
  MOSSKEEL_FIELDS(PartitionChecksumReply, (PartitionId, partition), (Epoch, stores_epoch), (bool, equal));
};

/// Requests from a peer the next page of the list of a partition's histories, those with names after `after`.
struct ListHistories {
  MOSSKEEL_FIELDS(ListHistories, (PartitionId, partition), (HistoryName, after));
};

/// The name and version of a history, by which replicas are compared.
struct HistorySummary {
  MOSSKEEL_FIELDS(HistorySummary, (HistoryName, history), (Epoch, term), (uint64_t, length));
};

struct ListHistoriesReply {
  MOSSKEEL_FIELDS(ListHistoriesReply, (PartitionId, partition), (HistoryName, after),
                  (std::vector<HistorySummary>, summaries), (bool, more));
};

/// Requests these histories from a peer.
struct FetchHistories {
  MOSSKEEL_FIELDS(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};

struct FetchHistoriesReply {
  MOSSKEEL_FIELDS(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// Requests records of a history from index `from` on, in the version with this term and length.
struct ReadRecords {
  MOSSKEEL_FIELDS(ReadRecords, (HistoryName, history), (PartitionId, partition), (Epoch, term), (uint64_t, length),
                  (uint64_t, from));
};

/// One page of records. Not `available`: the sender does not have the requested version.
struct ReadRecordsReply {
  MOSSKEEL_FIELDS(ReadRecordsReply, (HistoryName, history), (Epoch, term), (uint64_t, length), (uint64_t, from),
                  (bool, available), (Records, records));
};

/// Grants a `ReadHistory` of this term for a history that is too large for one message; it is read by `ReadRecords`.
struct LargeHistoryReply {
  MOSSKEEL_FIELDS(LargeHistoryReply, (HistoryName, history), (Epoch, term), (Epoch, history_term), (uint64_t, length));
};

/// Sent in place of a page if the next history is too large for one message; `next` is the version that the sender has.
struct StreamLargeHistory {
  MOSSKEEL_FIELDS(StreamLargeHistory, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone), (Epoch, fence), (HistorySummary, next));
};

/// The next of the requested histories is too large for one message.
struct FetchLargeHistory {
  MOSSKEEL_FIELDS(FetchLargeHistory, (PartitionId, partition), (HistorySummary, next));
};

/// The owner writes back a history that is too large for one message. A store whose replica has the version
/// (`replica_term`, `replica_length`), which the owner has read, moves it to `term`; other stores first read `length`
/// records from the owner. The reply is an `AppendHistoryReply`.
struct AdoptHistory {
  MOSSKEEL_FIELDS(AdoptHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term), (Epoch, replica_term),
                  (uint64_t, replica_length), (uint64_t, length));
};

/// The old owner sends the new owner the outcome of a turn that was running when its partition moved.
struct TransferTurnOutcome {
  MOSSKEEL_FIELDS(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};

/// The reply to TransferTurnOutcome: whether the outcome is committed.
struct TransferTurnOutcomeReply {
  MOSSKEEL_FIELDS(TransferTurnOutcomeReply, (std::string, attempt), (Outcome, outcome));
};

/// Asks the gateway that wrote a reservation whether it is still running the turn; only its own answer is
/// authoritative.
struct QueryTurnRunner {
  MOSSKEEL_FIELDS(QueryTurnRunner, (HistoryName, history), (std::string, key));
};

/// The reply to QueryTurnRunner. Not `running`: this gateway will never report an outcome.
struct QueryTurnRunnerReply {
  MOSSKEEL_FIELDS(QueryTurnRunnerReply, (HistoryName, history), (std::string, key), (bool, running));
};

}  // namespace mosskeel
