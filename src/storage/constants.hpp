#pragma once
// Constants of the log on disk.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Bytes; a log segment larger than this is closed, and the next one is started.
constexpr size_t kSegmentBytes = 4u << 20;
/// Bytes kept allocated so that a checkpoint can be written on a full disk; 3% of 128 MB.
constexpr size_t kDiskReserveBytes = 4u << 20;
/// No reserve is allocated if less free space than this multiple of its size is available.
constexpr size_t kDiskReserveMinimumFactor = 4;
/// Bytes of journal kept in memory while the disk is full: the size of two checkpoints.
constexpr size_t kMaxPendingJournalBytes = 32u << 20;
/// Interval between write attempts on a full disk; shorter than any client's retry time-out.
constexpr Duration kFullDiskRetryInterval = 100ms;
/// Interval between checkpoint attempts on a full disk; long because each attempt encodes the whole state.
constexpr Duration kFullDiskCheckpointInterval = 5000ms;

}  // namespace mosskeel
