#pragma once
// What the owners of programs and the stores of their histories say to each other.
#include "base/codec.hpp"

namespace mosskeel {

enum class Outcome : uint8_t { yes, no, unknown };

/// A `reservation` of a turn's tokens is committed before its dispatch, its `outcome` before success is reported;
/// `ended` closes the history.
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
  BOOST_HANA_DEFINE_STRUCT(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted),
                           (Epoch, history_term), (bool, has_tombstone), (Records, records));
};

/// Appends the records at the index `from`, or with `replace` replaces the whole history by them.
struct AppendHistory {
  BOOST_HANA_DEFINE_STRUCT(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term),
                           (bool, replace), (uint64_t, from), (Records, records));
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
  BOOST_HANA_DEFINE_STRUCT(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, tombstone));
};

struct HistoryCopy {
  BOOST_HANA_DEFINE_STRUCT(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};

struct StreamPartitionReply {
  BOOST_HANA_DEFINE_STRUCT(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, tombstone), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                           (std::vector<uint64_t>, tombstones), (bool, more));
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
  BOOST_HANA_DEFINE_STRUCT(ListHistoriesReply, (PartitionId, partition), (HistoryName, after),
                           (std::vector<HistorySummary>, summaries), (bool, more));
};

struct FetchHistories {
  BOOST_HANA_DEFINE_STRUCT(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};

struct FetchHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// The outcome of a turn that was running when its slot moved.
struct TransferTurnOutcome {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};

struct TransferTurnOutcomeReply {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcomeReply, (std::string, attempt), (Outcome, outcome));
};

/// Asks the front that wrote a reservation whether it still runs it; only its own word counts.
struct QueryTurnRunner {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunner, (HistoryName, history), (std::string, key));
};

struct QueryTurnRunnerReply {
  BOOST_HANA_DEFINE_STRUCT(QueryTurnRunnerReply, (HistoryName, history), (std::string, key), (bool, running));
};

}  // namespace mosskeel
