#include "consensus/sequence_barrier.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel::sequence_barrier {
namespace {

bool is_lost(const Daemon* daemon) {
  return !daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left;
}

/// What a daemon reported within the heartbeat timeout; older reports prove nothing about what it has now.
const PeerStatus* recent_status(const Daemon* daemon, const FailureDetector& detector, TimePoint now) {
  const PeerStatus* status = daemon ? detector.status_of(daemon->self.incarnation) : nullptr;
  bool recent = status && now - status->last_heartbeat_at < kHeartbeatTimeout;
  return recent ? status : nullptr;
}

/// The sequence's own daemon, and the owners and stores, before and after, of all partitions that the sequence moves.
std::set<DaemonId> involved_daemons(const Metadata& metadata, const Sequence& sequence) {
  std::set<DaemonId> ids{sequence.node};
  for (const auto& move : sequence.moves) {
    const Partition& partition = metadata.partitions[move.partition.value()];
    ids.insert(partition.owner);
    ids.insert(move.owner);
    ids.insert(partition.stores.begin(), partition.stores.end());
    ids.insert(move.stores.begin(), move.stores.end());
  }
  return ids;
}

/// The latest epoch at which pending stores were set for a partition of the sequence.
Epoch move_epoch(const Metadata& metadata, const Sequence& sequence) {
  Epoch latest{};
  for (const auto& move : sequence.moves) {
    const Partition& partition = metadata.partitions[move.partition.value()];
    if (!partition.pending_stores.empty())
      latest = std::max(latest, partition.stores_epoch);
  }
  return latest;
}

}  // namespace

std::set<DaemonId> new_stores(const Metadata& metadata, const Sequence& sequence) {
  std::set<DaemonId> ids;
  for (const auto& move : sequence.moves) {
    const auto& present = metadata.partitions[move.partition.value()].stores;
    for (DaemonId id : move.stores)
      if (!contains(present, id))
        ids.insert(id);
  }
  return ids;
}

bool last_step_is_known(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector,
                        TimePoint now) {
  size_t running = 0;
  size_t aware = 0;
  for (DaemonId id : involved_daemons(metadata, sequence)) {
    const Daemon* daemon = metadata.find(id);
    if (is_lost(daemon))
      continue;
    ++running;
    const PeerStatus* status = recent_status(daemon, detector, now);
    if (status && status->known_epoch >= sequence.last_step_epoch)
      ++aware;
  }
  return aware >= majority_of(running);
}

bool histories_are_streamed(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector,
                            TimePoint now) {
  std::set<DaemonId> ids = new_stores(metadata, sequence);
  Epoch required = move_epoch(metadata, sequence);
  return std::all_of(ids.begin(), ids.end(), [&](DaemonId id) {
    const Daemon* daemon = metadata.find(id);
    if (is_lost(daemon))
      return false;
    const PeerStatus* status = recent_status(daemon, detector, now);
    return status && status->streamed_epoch >= required;
  });
}

bool has_lost_target(const Metadata& metadata, const Sequence& sequence) {
  std::set<DaemonId> ids = new_stores(metadata, sequence);
  return std::any_of(ids.begin(), ids.end(), [&](DaemonId id) { return is_lost(metadata.find(id)); });
}

}  // namespace mosskeel::sequence_barrier
