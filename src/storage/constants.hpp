#pragma once
// Constants of the log on disk.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Bytes; a log segment is closed beyond this size.
constexpr size_t kSegmentBytes = 4u << 20;
/// Bytes; kept allocated so that a checkpoint can be written on a full disk; 3% of 128 MB.
constexpr size_t kDiskReserveBytes = 4u << 20;
/// Factor; a disk with less free space than this many reserves gets none.
constexpr size_t kDiskReserveMinimumFactor = 4;
/// Bytes; journal kept in memory while the disk is full: two checkpoints.
constexpr size_t kMaxPendingJournalBytes = 32u << 20;
/// Between writes tried on a full disk; shorter than any client's retry time-out.
constexpr Duration kFullDiskRetryInterval = 100ms;
/// Between checkpoints tried on a full disk: each encodes the whole state.
constexpr Duration kFullDiskCheckpointInterval = 5000ms;

}  // namespace mosskeel
