#include "consensus/sequence_coordinator.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/sequence_barrier.hpp"

namespace mosskeel {

std::optional<Transformation> SequenceCoordinator::next_change(TimePoint now) {
  if (auto step = advance_sequence(now))
    return step;
  if (auto join = begin_join(now))
    return join;
  if (auto drain = resume_drain(now))
    return drain;
  if (auto repair = begin_repair(now))
    return repair;
  return forget_store(now);
}

/// Each step waits until the daemons involved know the previous one; the last two steps also wait until the new stores
/// have reported that they have the histories.
bool SequenceCoordinator::barrier_reached(const Sequence& sequence, TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  if (!sequence_barrier::last_step_is_known(metadata, sequence, detector_, now))
    return false;
  return sequence.next_step == SequenceStep::start ||
         sequence_barrier::histories_are_streamed(metadata, sequence, detector_, now);
}

/// Why a sequence cannot continue and must be cancelled; empty if it can continue.
std::string SequenceCoordinator::blocking_reason(const Sequence& sequence, TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  Barrier& barrier = barriers_[sequence.node];
  if (barrier.last_step_epoch != sequence.last_step_epoch)
    barrier = {sequence.last_step_epoch, now};
  const Daemon* node = metadata.find(sequence.node);
  if (sequence.kind == SequenceKind::join && node && node->state == DaemonState::down)
    return "its node is down";
  if (sequence.kind == SequenceKind::repair && node && node->state == DaemonState::up)
    return "its node is back";
  if (sequence_barrier::has_lost_target(metadata, sequence))
    return "a store that was to take places is lost";
  if (now - barrier.since > kSequenceStepTimeout)
    return std::string("barrier blocked before ") + name(sequence.next_step);
  return "";
}

std::optional<Transformation> SequenceCoordinator::advance_sequence(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  std::erase_if(barriers_, [&](const auto& barrier) { return !metadata.sequences.count(barrier.first); });
  for (const auto& [id, sequence] : metadata.sequences) {
    std::string of_daemon = " of daemon " + std::to_string(id.value());
    std::string reason = blocking_reason(sequence, now);
    if (!reason.empty()) {
      retry_at_[id] = now + kSequenceRetryDelay;
      outbox_.log_event(Event::sequence_blocked,
                        std::string(name(sequence.kind)) + of_daemon + " at step " + name(sequence.next_step));
      return CancelSequence{id, reason};
    }
    if (!barrier_reached(sequence, now))
      continue;
    outbox_.log_event(Event::sequence_step,
                      std::string(name(sequence.next_step)) + " of the " + name(sequence.kind) + of_daemon);
    return AdvanceSequence{id, sequence.next_step};
  }
  return std::nullopt;
}

bool SequenceCoordinator::is_backing_off(DaemonId id, TimePoint now) const {
  auto retry = retry_at_.find(id);
  return retry != retry_at_.end() && now < retry->second;
}

/// Whether a store is silent but not yet marked down. A joining store should then take over that store's partitions
/// rather than those of other stores.
bool SequenceCoordinator::any_store_suspected(TimePoint now) const {
  const auto& directory = metadata_log_.view()->directory;
  return std::any_of(directory.begin(), directory.end(), [&](const auto& entry) {
    const Daemon& daemon = entry.second;
    return daemon.self.role == Role::store && daemon.state == DaemonState::up &&
           majority_.is_silent(daemon, kStoreSuspectTimeout, now);
  });
}

/// A join takes a share of all partitions, so it waits for every other sequence except repairs.
std::optional<Transformation> SequenceCoordinator::begin_join(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  for (const auto& [id, sequence] : metadata.sequences)
    if (sequence.kind != SequenceKind::repair)
      return std::nullopt;
  for (const auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role == Role::controller || daemon.state != DaemonState::registered)
      continue;
    if (!majority_.has_majority_contact(daemon, now) || is_backing_off(id, now))
      continue;
    if (daemon.self.role == Role::store && any_store_suspected(now))
      continue;
    if (metadata.sequences.empty() || !placement::plan_join(metadata, daemon).empty())
      return PrepareJoin{id};
  }
  return std::nullopt;
}

/// Whether targets can be found for all partitions of a draining store and no other sequence has locked one of them.
bool SequenceCoordinator::drain_is_possible(const Daemon& store) const {
  const Metadata& metadata = *metadata_log_.view();
  auto moves = placement::plan_drain(metadata, store);
  if (!moves.ok())
    return false;
  return std::none_of(moves.value().begin(), moves.value().end(),
                      [&](const auto& move) { return metadata.locks.count(move.partition) > 0; });
}

/// A store drained by an operator stays in the draining state when its sequence is cancelled. The drain is then started
/// again, with other targets.
std::optional<Transformation> SequenceCoordinator::resume_drain(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  for (const auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::draining)
      continue;
    if (metadata.sequences.count(id) || is_backing_off(id, now))
      continue;
    if (drain_is_possible(daemon))
      return PrepareDrain{id};
  }
  return std::nullopt;
}

/// How long a store may be silent before its partitions are moved to other stores. The delay doubles with each earlier
/// repair, up to `kMaxRepairDelayDoublings`.
Duration SequenceCoordinator::repair_delay(DaemonId id) const {
  auto begun = repairs_begun_.find(id);
  uint32_t doublings = begun == repairs_begun_.end() ? 0 : std::min(begun->second, kMaxRepairDelayDoublings);
  return kRepairDelay * (int64_t{1} << doublings);
}

bool SequenceCoordinator::repair_is_due(const Daemon& store, TimePoint now) const {
  if (store.self.role != Role::store || store.state != DaemonState::down)
    return false;
  if (metadata_log_.view()->sequences.count(store.id) || is_backing_off(store.id, now))
    return false;
  return majority_.is_silent(store, repair_delay(store.id), now);
}

size_t SequenceCoordinator::count_lost_replicas(const Partition& partition) const {
  const Metadata& metadata = *metadata_log_.view();
  auto lost = std::count_if(partition.stores.begin(), partition.stores.end(), [&](DaemonId id) {
    const Daemon* store = metadata.find(id);
    return !store || store->state == DaemonState::down || store->state == DaemonState::left;
  });
  return static_cast<size_t>(lost);
}

/// Moves the partitions of stores that stay down to other stores. Several stores can be repaired concurrently,
/// beginning with the store whose partition has lost the most replicas. If a successor of the store is registered, its
/// join serves as the repair.
std::optional<Transformation> SequenceCoordinator::begin_repair(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  std::optional<DaemonId> most_urgent;
  size_t most_lost = 0;
  for (const auto& [id, daemon] : metadata.directory) {
    if (!repair_is_due(daemon, now))
      continue;
    for (const auto& move : placement::plan_repair(metadata, daemon)) {
      size_t lost = count_lost_replicas(metadata.partitions[move.partition.value()]);
      if (lost > most_lost) {
        most_urgent = id;
        most_lost = lost;
      }
    }
  }
  if (!most_urgent)
    return std::nullopt;
  ++repairs_begun_[*most_urgent];
  return PrepareRepair{*most_urgent};
}

/// Removes a store that is down and has no partitions from the directory, once another daemon has its address or it has
/// been silent for `kForgetStoreDelay`.
std::optional<Transformation> SequenceCoordinator::forget_store(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  for (const auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::down)
      continue;
    if (metadata.holds_partitions(id) || metadata.sequences.count(id))
      continue;
    bool replaced = metadata.find_at(daemon.self.address) != &daemon;
    if (replaced || majority_.is_silent(daemon, kForgetStoreDelay, now))
      return ForgetStore{id};
  }
  return std::nullopt;
}

}  // namespace mosskeel
