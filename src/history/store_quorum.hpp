#pragma once
// Which stores a history is written to, and how many of them decide.
#include <functional>

#include "metadata/metadata.hpp"

namespace mosskeel {

/// Whether something holds for a store.
using StorePredicate = std::function<bool(DaemonId)>;

/// All stores of the set in force and of the pending set, but those that left and those of an evacuated zone.
std::vector<const Daemon*> write_targets(const Metadata& metadata, const Partition& partition);

/// Whether the stores for which `has` holds are a read quorum of the set in force; never where that set is smaller than
/// a write quorum.
bool is_read_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& has);

/// Whether the stores for which `has` holds are a write quorum of the set in force, and of the pending set where there
/// is one.
bool is_write_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& has);

}  // namespace mosskeel
