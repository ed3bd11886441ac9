#pragma once
// Partitions of the set of programs, and the sequences that move them between daemons.
#include "base/fields.hpp"

#include "mosskeel/common.hpp"

namespace mosskeel {

/// A partition's programs are owned by one gateway, and their histories are kept by one set of stores.
/// The order of the fields is the format on the wire and on disk.
struct Partition {
  /// - `term`: epoch since which `owner` owns it; fences off writes of earlier owners
  /// - `pending_stores`: the next set while a sequence moves the partition between stores, else empty
  /// - `stores_epoch`: epoch of the last change of either set
  MOSSKEEL_FIELDS(Partition, (DaemonId, owner), (Epoch, term), (std::vector<DaemonId>, stores),
                  (std::vector<DaemonId>, pending_stores), (Epoch, stores_epoch));
  bool operator==(const Partition&) const = default;
};

/// The owner and the stores that a partition has after a sequence.
struct PartitionMove {
  MOSSKEEL_FIELDS(PartitionMove, (PartitionId, partition), (DaemonId, owner), (std::vector<DaemonId>, stores));
  bool operator==(const PartitionMove&) const = default;
};

/// A `repair` moves the partitions of a store that is down to other stores; the store may return and join again.
enum class SequenceKind : uint8_t { join, drain, repair };

/// `start` publishes the pending stores, `mid` follows once they have the data, `finish` makes the moves effective.
enum class SequenceStep : uint8_t { start, mid, finish };

const char* name(SequenceKind kind);
const char* name(SequenceStep step);

/// A multi-step change of placement in progress. Its partitions are locked until it finishes or is cancelled.
struct Sequence {
  /// `last_step_epoch` is the epoch that enacted the step before `next_step`.
  MOSSKEEL_FIELDS(Sequence, (DaemonId, node), (SequenceKind, kind), (SequenceStep, next_step), (Epoch, started_epoch),
                  (Epoch, last_step_epoch), (std::vector<PartitionMove>, moves));
  bool operator==(const Sequence&) const = default;
};

/// Locked partitions, each with the node whose sequence holds the lock.
using Locks = std::map<PartitionId, DaemonId>;
/// Sequences in progress, by node; a node has at most one.
using Sequences = std::map<DaemonId, Sequence>;

/// The partition of a program, given the id of its root program.
PartitionId partition_of(const std::string& cell, const std::string& program);

}  // namespace mosskeel
