#pragma once
// Constants of history replication and of the stores.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An unanswered request to a store is retried after this.
constexpr Duration kStoreRetryInterval = 250ms;
/// If no quorum of stores has answered by then, the caller's request fails with 503.
constexpr Duration kHistoryQuorumTimeout = 4000ms;
/// Added to the retention period: a response may reach its caller this long after its record was stored.
constexpr Duration kRetentionMargin = 30000ms;
/// The retention period is extended by 1/64, to tolerate clocks that run fast.
constexpr int64_t kRetentionDriftDivisor = 64;
/// Interval between expiry scans; each scan covers one partition.
constexpr Duration kExpiryScanInterval = 100ms;
/// Maximum number of expired histories that one scan reports.
constexpr size_t kMaxExpiredPerScan = 16;
/// Tombstones in one generation. A partition has two generations, so the most recent 2^18 to 2^19 tombstones are kept,
/// 8 bytes each.
constexpr size_t kTombstonesPerPartition = 1u << 18;
/// Maximum number of tombstones in one message.
constexpr size_t kTombstonesPerMessage = 4096;
/// Interval between two repair requests of a store: limits repair traffic to 5 MB/s.
constexpr Duration kRepairInterval = 50ms;
/// An unanswered repair request is abandoned after this.
constexpr Duration kRepairRequestTimeout = 1000ms;
/// Histories whose last write is more recent than this are not compared yet.
constexpr Duration kRepairMinimumAge = 5000ms;
/// Maximum number of histories listed in one message.
constexpr size_t kRepairSummariesPerMessage = 512;
/// Maximum number of histories requested by one message.
constexpr size_t kRepairHistoriesPerMessage = 16;
/// Bytes of records in a repair message; the history that exceeds this is the last one in the message.
constexpr size_t kRepairMessageBytes = 256u << 10;
/// The owner evicts a history from memory after this idle time.
constexpr Duration kIdleHistoryTimeout = 60000ms;
/// Maximum number of stream pages in flight over all partitions; about 2 MB including copies.
constexpr size_t kStreamWindowPages = 8;
/// Bytes; the history that exceeds this is the last one in the page.
constexpr size_t kStreamPageBytes = 128 << 10;
/// An unanswered page request is retried after this, preferably at another store.
constexpr Duration kStreamPageTimeout = 1000ms;
/// Bytes; a shorter journal never triggers a checkpoint, however small the state is.
constexpr size_t kMinCheckpointJournalBytes = 4u << 20;
/// The histories of a partition that moved to other stores are dropped after this.
constexpr Duration kMovedPartitionKeepTime = 10000ms;
/// Interval between scans for moved partitions.
constexpr Duration kMovedPartitionScanInterval = 500ms;
/// Fraction of the machine's memory in use above which a store rejects requests that add data.
constexpr double kStoreMemoryShare = 0.6;
/// Bytes of queued messages above which a store drops incoming messages larger than 1 KB.
constexpr size_t kStoreInboxBytes = 4u << 20;
/// Bytes waiting for the disk above which a store sends no histories.
constexpr size_t kMaxBytesWaitingForDisk = 4u << 20;
/// Interval between measurements of a store's own load.
constexpr Duration kStoreLoadInterval = 100ms;
/// Bytes; a turn that would make its history larger than this is rejected before it runs.
constexpr size_t kMaxHistoryBytes = 16u << 20;
/// Bytes; a larger history is transferred page by page instead of in one message.
constexpr size_t kMaxWholeHistoryBytes = 1u << 20;
/// Bytes; a page of records ends before the record that would exceed this.
constexpr size_t kRecordsPageBytes = 256u << 10;
/// A download is abandoned if its source sends no page for this long.
constexpr Duration kRecordsSilenceTimeout = 4000ms;
/// Large histories that a store downloads from owners concurrently; further ones wait until the owners retry.
constexpr size_t kMaxAdoptions = 2;
/// Estimated bytes of a record besides its texts, encoded or in memory.
constexpr size_t kRecordOverheadBytes = 128;

}  // namespace mosskeel
