#pragma once
// Messages between the owners of programs and the stores of their histories.
#include "base/codec.hpp"

namespace mosskeel {

/// What is known of an event: it happened, it did not and never will, or neither is known.
enum class Outcome : uint8_t { yes, no, unknown };

/// A `reservation` of a turn's tokens is committed before its dispatch, its `outcome` before success is reported;
/// `ended` closes the history.
enum class RecordKind : uint8_t { reservation, outcome, ended };

/// A record of a history. `key` identifies the turn, `thread` the sub-agent; `body_digest` tells a retry from another
/// request under the same key; `tokens` are reserved or spent; `turn` counts the history's turns; `status` is the
/// HTTP status of an outcome; `runner` is the gateway that dispatches; `parent` is the turn that it continues.
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

/// The owner reads a history from a store under its term, which the store fences: it takes no lower term afterwards.
struct ReadHistory {
  MOSSKEEL_FIELDS(ReadHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// `term` is that of the request. Not `granted`: a higher term fences it off, or the sender does not own the partition.
/// `history_term` is the term under which the records were last written as a whole.
struct ReadHistoryReply {
  MOSSKEEL_FIELDS(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (Epoch, history_term),
                  (bool, has_tombstone), (Records, records));
};

/// Appends the records at the index `from`, or with `replace` replaces the whole history by them.
struct AppendHistory {
  MOSSKEEL_FIELDS(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term), (bool, replace),
                  (uint64_t, from), (Records, records));
};

/// Sent once the records are durable; `length` counts the store's records. `gap` says that it lacks records before
/// `from`, or holds the history under another term: the owner then sends all of it.
struct AppendHistoryReply {
  MOSSKEEL_FIELDS(AppendHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted), (bool, gap),
                  (uint64_t, length));
};

/// A store tells the owner that, by its own clock, the history of this length has outlived its retention.
struct HistoryExpired {
  MOSSKEEL_FIELDS(HistoryExpired, (HistoryName, history), (PartitionId, partition), (uint64_t, length));
};

/// The history has ended for good: the store deletes its records and keeps a tombstone of its name.
struct WriteTombstone {
  MOSSKEEL_FIELDS(WriteTombstone, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// A store that is to hold a partition asks for a page of it: histories after the name `after`, tombstones after the
/// digest `after_tombstone`. `sequence` is the epoch of the move.
struct StreamPartition {
  MOSSKEEL_FIELDS(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone));
};

/// A complete history as one store holds it.
struct HistoryCopy {
  MOSSKEEL_FIELDS(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};

/// One page. `fence` is the highest term that the sender has fenced; `more` says that another page follows.
struct StreamPartitionReply {
  MOSSKEEL_FIELDS(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                  (std::vector<uint64_t>, tombstones), (bool, more));
};

/// Anti-entropy: a store sends the checksum of a partition's histories to a peer; `stores_epoch` is the epoch of the
/// store set that it refers to.
struct PartitionChecksum {
  MOSSKEEL_FIELDS(PartitionChecksum, (PartitionId, partition), (Epoch, stores_epoch), (uint64_t, checksum));
};

/// Whether the peer has the same checksum.
struct PartitionChecksumReply {
  MOSSKEEL_FIELDS(PartitionChecksumReply, (PartitionId, partition), (Epoch, stores_epoch), (bool, equal));
};

/// Asks a peer for the next page of a partition's histories, by name after `after`.
struct ListHistories {
  MOSSKEEL_FIELDS(ListHistories, (PartitionId, partition), (HistoryName, after));
};

/// Enough of a history to tell whether a copy of it is behind.
struct HistorySummary {
  MOSSKEEL_FIELDS(HistorySummary, (HistoryName, history), (Epoch, term), (uint64_t, length));
};

struct ListHistoriesReply {
  MOSSKEEL_FIELDS(ListHistoriesReply, (PartitionId, partition), (HistoryName, after),
                  (std::vector<HistorySummary>, summaries), (bool, more));
};

/// Asks a peer for these histories.
struct FetchHistories {
  MOSSKEEL_FIELDS(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};

struct FetchHistoriesReply {
  MOSSKEEL_FIELDS(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// Asks a daemon for records of a history from the index `from` on, as they are in the version of this term and length.
struct ReadRecords {
  MOSSKEEL_FIELDS(ReadRecords, (HistoryName, history), (PartitionId, partition), (Epoch, term), (uint64_t, length),
                  (uint64_t, from));
};

/// One page of records. Not `available`: the sender does not have this version.
struct ReadRecordsReply {
  MOSSKEEL_FIELDS(ReadRecordsReply, (HistoryName, history), (Epoch, term), (uint64_t, length), (uint64_t, from),
                  (bool, available), (Records, records));
};

/// A store grants a `ReadHistory` of this term, and the history is too large for one message: `ReadRecords` reads it.
struct LargeHistoryReply {
  MOSSKEEL_FIELDS(LargeHistoryReply, (HistoryName, history), (Epoch, term), (Epoch, history_term), (uint64_t, length));
};

/// A page of a partition whose next history is too large for one message; `next` tells which version the sender has.
struct StreamLargeHistory {
  MOSSKEEL_FIELDS(StreamLargeHistory, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                  (uint64_t, after_tombstone), (Epoch, fence), (HistorySummary, next));
};

/// The next one of the histories that a peer has asked for is too large for one message.
struct FetchLargeHistory {
  MOSSKEEL_FIELDS(FetchLargeHistory, (PartitionId, partition), (HistorySummary, next));
};

/// The owner writes a history back that is too large for one message. A store whose replica has the version of
/// `replica_term` and `replica_length`, which the owner has read, takes it over under `term`; others read `length`
/// records from the owner first. The answer is an `AppendHistoryReply`.
struct AdoptHistory {
  MOSSKEEL_FIELDS(AdoptHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term), (Epoch, replica_term),
                  (uint64_t, replica_length), (uint64_t, length));
};

/// The old owner hands the outcome of a turn that was running when its partition moved to the new owner.
struct TransferTurnOutcome {
  MOSSKEEL_FIELDS(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};

/// Whether the outcome is committed.
struct TransferTurnOutcomeReply {
  MOSSKEEL_FIELDS(TransferTurnOutcomeReply, (std::string, attempt), (Outcome, outcome));
};

/// Asks the gateway that wrote a reservation whether it still runs the turn; only its own answer counts.
struct QueryTurnRunner {
  MOSSKEEL_FIELDS(QueryTurnRunner, (HistoryName, history), (std::string, key));
};

/// `running` false means that this gateway will not report an outcome any more.
struct QueryTurnRunnerReply {
  MOSSKEEL_FIELDS(QueryTurnRunnerReply, (HistoryName, history), (std::string, key), (bool, running));
};

}  // namespace mosskeel
