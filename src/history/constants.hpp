#pragma once
// Constants of histories and their stores.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An unanswered store is asked again.
constexpr Duration kStoreRetryInterval = 250ms;
/// Without a quorum of stores by then the request ends in 503.
constexpr Duration kHistoryQuorumTimeout = 4000ms;
/// An answer may reach its caller this long after its record was kept.
constexpr Duration kRetentionMargin = 30000ms;
/// Retention is stretched by 1/64, for clocks that run fast.
constexpr int64_t kRetentionDriftDivisor = 64;
/// A store scans one partition for expired histories each time.
constexpr Duration kExpiryScanInterval = 100ms;
/// Expired histories reported by one scan.
constexpr size_t kMaxExpiredPerScan = 16;
/// Names of deleted histories a partition: the last 2^18 to 2^19 are kept, 8 bytes each.
constexpr size_t kTombstonesPerPartition = 1u << 18;
/// Tombstones in one message.
constexpr size_t kTombstonesPerMessage = 4096;
/// Between two requests of a store's repair: 5 MB a second at most.
constexpr Duration kRepairInterval = 50ms;
/// An unanswered repair request is given up.
constexpr Duration kRepairRequestTimeout = 1000ms;
/// Histories written later than this are not compared yet.
constexpr Duration kRepairMinimumAge = 5000ms;
/// Histories listed in one message.
constexpr size_t kRepairSummariesPerMessage = 512;
/// Histories fetched by one message.
constexpr size_t kRepairHistoriesPerMessage = 16;
/// Bytes of records; a repair's message ends after the history that exceeds this.
constexpr size_t kRepairMessageBytes = 256u << 10;
/// An idle history leaves its owner's memory.
constexpr Duration kIdleHistoryTimeout = 60000ms;
/// Pages requested and not yet answered; 2 MB with their copies.
constexpr size_t kStreamWindowPages = 8;
/// Bytes; a page ends after the history that exceeds this.
constexpr size_t kStreamPageBytes = 128 << 10;
/// An unanswered page is requested again, from another store first.
constexpr Duration kStreamPageTimeout = 1000ms;
/// Bytes; a shorter journal calls for no checkpoint, however small the state.
constexpr size_t kMinCheckpointJournalBytes = 4u << 20;
/// A partition that moved to other stores is dropped after this.
constexpr Duration kMovedPartitionKeepTime = 10000ms;
/// Between two scans for such partitions.
constexpr Duration kMovedPartitionScanInterval = 500ms;
/// Share of the machine's memory in use beyond which no new text is taken.
constexpr double kStoreMemoryShare = 0.6;
/// Bytes; larger messages than 1 KB are dropped beyond this.
constexpr size_t kStoreInboxBytes = 4u << 20;
/// Bytes; while more waits for the disk, no history is sent.
constexpr size_t kMaxBytesWaitingForDisk = 4u << 20;
/// Between two measurements of a store's own load.
constexpr Duration kStoreLoadInterval = 100ms;
/// Bytes; a turn that would make a history larger is rejected before it runs.
constexpr size_t kMaxHistoryBytes = 16u << 20;
/// Bytes; a larger history is read page by page wherever a smaller one is sent whole.
constexpr size_t kMaxWholeHistoryBytes = 1u << 20;
/// Bytes; a page of one history's records ends before the record that exceeds this.
constexpr size_t kRecordsPageBytes = 256u << 10;
/// A download from a source that sends no page for so long is given up.
constexpr Duration kRecordsSilenceTimeout = 4000ms;
/// Large histories that a store reads from owners at once; more wait until the owners ask again.
constexpr size_t kMaxAdoptions = 2;
/// Bytes of a record beside its text, encoded or in memory.
constexpr size_t kRecordOverheadBytes = 128;

}  // namespace mosskeel
