#pragma once
// Constants of histories and their stores.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; an unanswered store is asked again.
constexpr Millis kStoreRetryInterval = 250;
/// Milliseconds; without a quorum of stores by then the request ends in 503.
constexpr Millis kHistoryQuorumTimeout = 4000;
/// Milliseconds; an answer may reach its caller this long after its record was kept.
constexpr Millis kRetentionMargin = 30000;
/// Retention is stretched by 1/64, for clocks that run fast.
constexpr int64_t kRetentionDriftDivisor = 64;
/// Milliseconds; a store scans one partition for expired histories each time.
constexpr Millis kExpiryScanInterval = 100;
/// Expired histories reported by one scan.
constexpr size_t kMaxExpiredPerScan = 16;
/// Names of deleted histories a partition: the last 2^18 to 2^19 are kept, 8 bytes each.
constexpr size_t kTombstonesPerPartition = 1u << 18;
/// Tombstones in one message.
constexpr size_t kTombstonesPerMessage = 4096;
/// Milliseconds; between two requests of a store's repair: 5 MB a second at most.
constexpr Millis kRepairInterval = 50;
/// Milliseconds; an unanswered repair request is given up.
constexpr Millis kRepairRequestTimeout = 1000;
/// Milliseconds; histories written later than this are not compared yet.
constexpr Millis kRepairMinimumAge = 5000;
/// Histories listed in one message.
constexpr size_t kRepairSummariesPerMessage = 512;
/// Histories fetched by one message.
constexpr size_t kRepairHistoriesPerMessage = 16;
/// Bytes of records; a repair's message ends after the history that exceeds this.
constexpr size_t kRepairMessageBytes = 256u << 10;
/// Milliseconds; an idle history leaves its owner's memory.
constexpr Millis kIdleHistoryTimeout = 60000;
/// Pages requested and not yet answered; 2 MB with their copies.
constexpr size_t kStreamWindowPages = 8;
/// Bytes; a page ends after the history that exceeds this.
constexpr size_t kStreamPageBytes = 128 << 10;
/// Milliseconds; an unanswered page is requested again, from another store first.
constexpr Millis kStreamPageTimeout = 1000;
/// Bytes; a shorter journal calls for no checkpoint, however small the state.
constexpr size_t kMinCheckpointJournalBytes = 4u << 20;
/// Milliseconds; a partition that moved to other stores is dropped after this.
constexpr Millis kMovedPartitionKeepTime = 10000;
/// Milliseconds; between two scans for such partitions.
constexpr Millis kMovedPartitionScanInterval = 500;
/// Share of the machine's memory in use beyond which no new text is taken.
constexpr double kStoreMemoryShare = 0.6;
/// Bytes; larger messages than 1 KB are dropped beyond this.
constexpr size_t kStoreInboxBytes = 4u << 20;
/// Bytes; while more waits for the disk, no history is sent.
constexpr size_t kMaxBytesWaitingForDisk = 4u << 20;
/// Milliseconds; between two looks at a store's own load.
constexpr Millis kStoreLoadInterval = 100;
/// Bytes of a record beside its text, encoded or in memory.
constexpr size_t kRecordOverheadBytes = 128;

}  // namespace mosskeel
