#pragma once
// What the owners of programs and the stores of their histories say to each other.
// The order of the fields is the format on the wire and, where stores journal them, on disk.
#include "base/codec.hpp"

namespace mosskeel {

/// Whether something happened, as far as is known.
enum class Outcome : uint8_t { yes, no, unknown };

/// A `reservation` of a turn's tokens is committed before its dispatch, its `outcome` before success is reported;
/// `ended` closes the history.
enum class RecordKind : uint8_t { reservation, outcome, ended };

/// One element of a program's history. `key` names the turn (the caller's idempotency key, or the attempt), `parent`
/// the turn that it goes on from, `thread` the thread of turns, of which this is number `turn`. `tokens` are reserved
/// or spent. `status` is the outcome's HTTP status; 0: the turn never ran. `runner` is the gateway that runs the turn,
/// `body_digest` the digest of its request, `retention_ms` how long the history is kept after its last write.
struct Record {
  BOOST_HANA_DEFINE_STRUCT(Record, (RecordKind, kind), (std::string, key), (std::string, thread),
                           (uint64_t, body_digest), (uint64_t, tokens), (uint32_t, turn), (uint32_t, status),
                           (DaemonId, runner), (int64_t, retention_ms), (std::string, input), (std::string, output),
                           (std::string, parent));
  bool operator==(const Record&) const = default;
};
using Records = std::vector<Record>;

/// The program whose turns the history holds.
struct HistoryName {
  BOOST_HANA_DEFINE_STRUCT(HistoryName, (std::string, cell), (std::string, program));
  auto operator<=>(const HistoryName&) const = default;
};

/// An owner asks a store for its replica. The store rejects writes to the partition under lower terms from then on.
struct ReadHistory {
  BOOST_HANA_DEFINE_STRUCT(ReadHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term));
};

/// `granted` is false where the sender does not own the partition, or a higher term has been seen. `history_term` is
/// the term under which the replica was last written. With `has_tombstone` the history was deleted here.
struct ReadHistoryReply {
  BOOST_HANA_DEFINE_STRUCT(ReadHistoryReply, (HistoryName, history), (Epoch, term), (bool, granted),
                           (Epoch, history_term), (bool, has_tombstone), (Records, records));
};

/// Appends the records at the index `from`, or with `replace` replaces the whole history by them.
struct AppendHistory {
  BOOST_HANA_DEFINE_STRUCT(AppendHistory, (HistoryName, history), (PartitionId, partition), (Epoch, term),
                           (bool, replace), (uint64_t, from), (Records, records));
};

/// Sent once the write is on disk. `length` counts the records that the replica has now. With `gap` it lacks records
/// before `from`, or was not written under this term: the owner then sends the whole history.
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

/// A store that is about to hold a partition asks one that holds it for the next page of its replica: the histories and
/// the tombstones behind those that it has. `sequence` is the epoch at which it became pending.
struct StreamPartition {
  BOOST_HANA_DEFINE_STRUCT(StreamPartition, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, after_tombstone));
};

/// A store's replica of a history, on its way to another store.
struct HistoryCopy {
  BOOST_HANA_DEFINE_STRUCT(HistoryCopy, (HistoryName, history), (Epoch, history_term), (Records, records));
};

/// A page; `more` where others follow. `fence` is the highest term shown to the partition there.
struct StreamPartitionReply {
  BOOST_HANA_DEFINE_STRUCT(StreamPartitionReply, (PartitionId, partition), (Epoch, sequence), (HistoryName, after),
                           (uint64_t, after_tombstone), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                           (std::vector<uint64_t>, tombstones), (bool, more));
};

/// Anti-entropy: stores compare their partitions' histories in the background and fetch what they lack. `checksum` is
/// over the names and versions of the sender's histories, `stores_epoch` that of the partition's set of stores.
struct PartitionChecksum {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksum, (PartitionId, partition), (Epoch, stores_epoch), (uint64_t, checksum));
};

/// Whether the receiver's checksum is the same, under the same set of stores.
struct PartitionChecksumReply {
  BOOST_HANA_DEFINE_STRUCT(PartitionChecksumReply, (PartitionId, partition), (Epoch, stores_epoch), (bool, equal));
};

/// Asks for the names and versions of the histories behind `after`.
struct ListHistories {
  BOOST_HANA_DEFINE_STRUCT(ListHistories, (PartitionId, partition), (HistoryName, after));
};

/// A history's version: the term under which it was last written, and its number of records.
struct HistorySummary {
  BOOST_HANA_DEFINE_STRUCT(HistorySummary, (HistoryName, history), (Epoch, term), (uint64_t, length));
};

struct ListHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(ListHistoriesReply, (PartitionId, partition), (HistoryName, after),
                           (std::vector<HistorySummary>, summaries), (bool, more));
};

/// Asks for whole histories.
struct FetchHistories {
  BOOST_HANA_DEFINE_STRUCT(FetchHistories, (PartitionId, partition), (std::vector<HistoryName>, names));
};

/// In the order in which they were asked for; those that do not fit into the message, or are gone, are left out.
struct FetchHistoriesReply {
  BOOST_HANA_DEFINE_STRUCT(FetchHistoriesReply, (PartitionId, partition), (std::vector<HistoryCopy>, histories));
};

/// The outcome of a turn that was running when its partition moved, for the new owner.
struct TransferTurnOutcome {
  BOOST_HANA_DEFINE_STRUCT(TransferTurnOutcome, (std::string, attempt), (HistoryName, history), (Record, record));
};

/// `no`: the new owner cannot take the outcome, since the history has gone on without it.
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
