#pragma once
// Write targets and quorums of the stores of a partition.
#include <functional>

#include "metadata/metadata.hpp"

namespace mosskeel {

/// A condition on a store.
using StorePredicate = std::function<bool(DaemonId)>;

/// All stores of the current and the pending set, except those that have left and those in an evacuated zone.
std::vector<const Daemon*> write_targets(const Metadata& metadata, const Partition& partition);

/// Whether the stores that satisfy `predicate` are a read quorum of the current set. Always false if that set is
/// smaller than a write quorum.
bool is_read_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& predicate);

/// Whether the stores that satisfy `predicate` are a write quorum of the current set and, if there is one, of the
/// pending set.
bool is_write_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& predicate);

}  // namespace mosskeel
