// The supervisor's joins, drains and repairs: when one begins, when its next step may be taken, when it is given up.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/sequence_barrier.hpp"
#include "consensus/supervisor.hpp"

namespace mosskeel {

/// Each step waits until those concerned know the one before; the last two also for the newcomers' own word.
bool Supervisor::passed(const Sequence& sequence, Millis now) const {
  auto& metadata = *metadata_log_.view();
  if (!sequence_barrier::is_known(metadata, sequence, detector_, now))
    return false;
  return sequence.next_step == SequenceStep::start || sequence_barrier::is_streamed(metadata, sequence, detector_, now);
}

/// Why a sequence can't go on, or nothing.
std::string Supervisor::hindrance(const Sequence& sequence, Millis now) {
  auto& metadata = *metadata_log_.view();
  auto& barrier = barrier_[sequence.node];
  if (barrier.first != sequence.last_step_epoch)
    barrier = {sequence.last_step_epoch, now};
  auto* node = metadata.find(sequence.node);
  if (sequence.kind == SequenceKind::join && node && node->state == DaemonState::down)
    return "its node is down";
  if (sequence.kind == SequenceKind::repair && node && node->state == DaemonState::up)
    return "its node is back";
  if (sequence_barrier::has_lost_target(metadata, sequence))
    return "a store that was to take places is lost";
  if (now - barrier.second > kSequenceStepTimeout)
    return std::string("barrier blocked before ") + name(sequence.next_step);
  return "";
}

std::optional<Transformation> Supervisor::proceed(Millis now) {
  auto& metadata = *metadata_log_.view();
  std::erase_if(barrier_, [&](auto& barrier) { return !metadata.sequences.count(barrier.first); });
  for (auto& [id, sequence] : metadata.sequences) {
    auto daemon = " of daemon " + std::to_string(id.value());
    auto why = hindrance(sequence, now);
    if (!why.empty()) {
      later_[id] = now + kSequenceRetryDelay;
      out_.note(Event::sequence_blocked,
                std::string(name(sequence.kind)) + daemon + " at step " + name(sequence.next_step));
      return CancelSequence{id, why};
    }
    if (!passed(sequence, now))
      continue;
    out_.note(Event::sequence_step, std::string(name(sequence.next_step)) + " of the " + name(sequence.kind) + daemon);
    return AdvanceSequence{id, sequence.next_step};
  }
  return std::nullopt;
}

bool Supervisor::paused(DaemonId id, Millis now) const {
  auto i = later_.find(id);
  return i != later_.end() && now < i->second;
}

/// A store that is silent and not yet known to be down: whoever joins should take its places, and not those of others.
bool Supervisor::store_in_doubt(Millis now) const {
  auto& directory = metadata_log_.view()->directory;
  return std::any_of(directory.begin(), directory.end(), [&](auto& entry) {
    auto& daemon = entry.second;
    return daemon.self.role == Role::store && daemon.state == DaemonState::up &&
           silent(daemon, now, kStoreSuspectTimeout);
  });
}

/// Joins take their share of all places, so one waits for every other sequence but repairs.
std::optional<Transformation> Supervisor::begin_join(Millis now) const {
  auto& metadata = *metadata_log_.view();
  for (auto& [id, sequence] : metadata.sequences)
    if (sequence.kind != SequenceKind::repair)
      return std::nullopt;
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role == Role::controller || daemon.state != DaemonState::registered)
      continue;
    if (!heard(daemon, now) || paused(id, now))
      continue;
    if (daemon.self.role == Role::store && store_in_doubt(now))
      continue;
    if (metadata.sequences.empty() || !placement::plan_join(metadata, daemon).empty())
      return PrepareJoin{id};
  }
  return std::nullopt;
}

/// A store that an order drains stays so when its sequence was given up: it begins anew, with other targets.
std::optional<Transformation> Supervisor::resume_drain(Millis now) const {
  auto& metadata = *metadata_log_.view();
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::draining)
      continue;
    if (metadata.sequences.count(id) || paused(id, now))
      continue;
    auto moves = placement::plan_drain(metadata, daemon);
    if (!moves.ok())
      continue;
    auto locked = [&](auto& move) {
      return metadata.locks.count(move.partition) > 0;
    };
    if (std::none_of(moves.value().begin(), moves.value().end(), locked))
      return PrepareDrain{id};
  }
  return std::nullopt;
}

/// How long a store may be silent before its places go to others; the longer, the more often it came back before.
Millis Supervisor::repair_patience(DaemonId id) const {
  auto i = repairs_.find(id);
  return kRepairDelay << (i == repairs_.end() ? 0 : std::min(i->second, kMaxRepairDelayDoublings));
}

/// The places of stores that stay down go to others at once, several stores' beside each other; first come those of
/// the store whose partitions have lost most. Where a successor is registered, its join is the repair.
std::optional<Transformation> Supervisor::repair(Millis now) {
  auto& metadata = *metadata_log_.view();
  auto lost_members = [&](const Partition& partition) {
    return std::count_if(partition.stores.begin(), partition.stores.end(), [&](auto id) {
      auto* daemon = metadata.find(id);
      return !daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left;
    });
  };
  std::optional<DaemonId> worst;
  long worst_lost = 0;
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::down)
      continue;
    if (metadata.sequences.count(id) || paused(id, now) || !silent(daemon, now, repair_patience(id)))
      continue;
    for (auto& move : placement::plan_repair(metadata, daemon)) {
      auto lost = lost_members(metadata.partitions[move.partition.value()]);
      if (lost > worst_lost)
        worst = id, worst_lost = lost;
    }
  }
  if (!worst)
    return std::nullopt;
  ++repairs_[*worst];
  return PrepareRepair{*worst};
}

/// A store that stays down without places counts no more, as soon as another daemon has its address or it is long gone.
std::optional<Transformation> Supervisor::forget(Millis now) const {
  auto& metadata = *metadata_log_.view();
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::down)
      continue;
    if (metadata.holds_partitions(id) || metadata.sequences.count(id))
      continue;
    if (metadata.find_at(daemon.self.address) != &daemon || silent(daemon, now, kForgetStoreDelay))
      return ForgetStore{id};
  }
  return std::nullopt;
}

std::optional<Transformation> Supervisor::sequences(Millis now) {
  if (auto step = proceed(now))
    return step;
  if (auto join = begin_join(now))
    return join;
  if (auto drain = resume_drain(now))
    return drain;
  if (auto repaired = repair(now))
    return repaired;
  return forget(now);
}

}  // namespace mosskeel
