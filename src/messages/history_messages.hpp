#pragma once
// What the owners of programs and the stores of their histories say to each other.
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
  BOOST_HANA_DEFINE_STRUCT(Record, (RecordKind, kind), (std::string, key), (std::string, thread),
                           (uint64_t, body_digest), (uint64_t, tokens), (uint32_t, turn), (uint32_t, status),
                           (DaemonId, runner), (int64_t, retention_ms), (std::string, input), (std::string, output),
                           (std::string, parent));
  bool operator==(const Record&) const = default;
};
using Records = std::vector<Record>;

/// Identifies a history in a cluster.
struct HistoryName {
  BOOST_HANA_DEFINE_STRUCT(HistoryName, (std::string, cell), (std::string, program));
  auto operator<=>(const HistoryName&) const = default;
};

/// The owner reads a history from a store under its term, which the store fences: it takes no lower term afterwards.
struct ReadHistory {
  BOOST_HANA_DEFINE_STRUCT(ReadHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// Where not `granted`, `term` is the higher one that forbids it, or the store does not hold the partition.
/// `history_term` is the term under which the records were last written as a whole.
struct ReadHistoryReply {
  BOOST_HANA_DEFINE_STRUCT(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted),
                           (Epoch, history_term), (bool, has_tombstone), (Records, records));
};

/// Appends the records at the index `from`, or with `replace` replaces the whole history by them.
struct AppendHistory {
  BOOST_HANA_DEFINE_STRUCT(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term),
                           (bool, replace), (uint64_t, from), (Records, records));
};

/// `gap` says that the store lacks records before `from`, and how many it has in `length`. Sent once the records are
/// durable.
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

/// A store that is to hold a partition asks for a page of it: histories after the name `after`, tombstones after the
/// number `tombstone`. `sequence` is the epoch of the move.
struct StreamPartition {
  BOOST_HANA_DEFINE_STRUCT(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, tombstone));
};

/// A complete history as one store holds it.
struct HistoryCopy {
  BOOST_HANA_DEFINE_STRUCT(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};

/// One page. `fence` is the highest term that the sender has fenced; `more` says that another page follows.
struct StreamPartitionReply {
  BOOST_HANA_DEFINE_STRUCT(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, tombstone), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                           (std::vector<uint64_t>, tombstones), (bool, more));
};

/// Anti-entropy: a store sends the checksum of a partition's histories to a peer; `changed` is the epoch of the store
/// set that it refers to.
struct PartitionChecksum {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksum, (PartitionId, partition), (Epoch, changed), (uint64_t, checksum));
};

/// Whether the peer has the same checksum.
struct PartitionChecksumReply {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksumReply, (PartitionId, partition), (Epoch, changed), (bool, equal));
};

/// Asks a peer for the next page of a partition's histories, by name after `after`.
struct ListHistories {
  BOOST_HANA_DEFINE_STRUCT(ListHistories, (PartitionId, partition), (HistoryName, after));
};

/// Enough of a history to tell whether a copy of it is behind.
struct HistorySummary {
  BOOST_HANA_DEFINE_STRUCT(HistorySummary, (HistoryName, history), (Epoch, term), (uint64_t, length));
};

struct ListHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(ListHistoriesReply, (PartitionId, partition), (HistoryName, after),
                           (std::vector<HistorySummary>, summaries), (bool, more));
};

/// Asks a peer for these histories.
struct FetchHistories {
  BOOST_HANA_DEFINE_STRUCT(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};

struct FetchHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// The old owner hands the outcome of a turn that was running when its partition moved to the new owner.
struct TransferTurnOutcome {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};

/// Whether the outcome is committed.
struct TransferTurnOutcomeReply {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcomeReply, (std::string, attempt), (Outcome, outcome));
};

/// Asks the gateway that wrote a reservation whether it still runs the turn; only its own answer counts.
struct QueryTurnRunner {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunner, (HistoryName, history), (std::string, key));
};

/// `running` false means that this gateway will not report an outcome any more.
struct QueryTurnRunnerReply {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunnerReply, (HistoryName, history), (std::string, key), (bool, running));
};

}  // namespace mosskeel
