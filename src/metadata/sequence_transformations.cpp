// Transformations that begin, advance and cancel sequences: joins, drains and repairs of gateways and stores.
#include <algorithm>

#include "metadata/placement.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel::transformations {
namespace {

using Moves = std::vector<PartitionMove>;

/// Why a node cannot begin a sequence of this kind; empty if it can.
std::optional<std::string> reason_against(const Metadata& metadata, DaemonId node, SequenceKind kind) {
  auto* daemon = metadata.find(node);
  if (!daemon || daemon->self.role == Role::controller)
    return "is no gateway or store";
  if (metadata.sequences.count(node))
    return "has a sequence in progress";
  if (daemon->state == DaemonState::left)
    return "has left";
  bool is_down = daemon->state == DaemonState::down;
  if (kind == SequenceKind::join && (is_down || daemon->state == DaemonState::draining))
    return std::string("is ") + name(daemon->state);
  if (kind == SequenceKind::repair && (daemon->self.role != Role::store || !is_down))
    return "is not a store that is down";
  return std::nullopt;
}

Result<Moves> plan_moves(const Metadata& metadata, const Daemon& daemon, SequenceKind kind) {
  switch (kind) {
    case SequenceKind::join:
      return placement::plan_join(metadata, daemon);
    case SequenceKind::drain:
      return placement::plan_drain(metadata, daemon);
    case SequenceKind::repair:
      break;
  }
  auto moves = placement::plan_repair(metadata, daemon);
  if (moves.empty())
    return reject(to_text(daemon.id), "holds no partitions that other stores could take now");
  return moves;
}

/// Plans a sequence's moves and locks the partitions. Nothing moves before the first step.
Result<Metadata> prepare(Metadata metadata, DaemonId node, SequenceKind kind) {
  if (auto reason = reason_against(metadata, node, kind))
    return reject(to_text(node), *reason);
  auto& daemon = metadata.directory[node];
  auto planned = plan_moves(metadata, daemon, kind);
  if (!planned.ok())
    return planned.errors();
  auto& moves = planned.value();
  for (auto& move : moves)
    if (auto lock = metadata.locks.find(move.partition); lock != metadata.locks.end())
      return reject(to_text(move.partition), "is locked by the sequence of " + to_text(lock->second));

  for (auto& move : moves)
    metadata.locks[move.partition] = node;
  // `since` is not updated, because the drain is not finished yet.
  if (kind == SequenceKind::drain && daemon.state != DaemonState::down)
    daemon.state = DaemonState::draining;
  metadata.sequences[node] = {node, kind, SequenceStep::start, metadata.epoch, metadata.epoch, moves};
  return metadata;
}

void set_stores(Metadata& metadata, Partition& partition, std::vector<DaemonId> stores) {
  partition.stores = std::move(stores);
  partition.pending_stores.clear();
  partition.stores_epoch = metadata.epoch;
}

/// Sets the pending stores. From then on, writes need a quorum of both the old and the new stores.
void publish_pending_stores(Metadata& metadata, const Moves& moves) {
  for (auto& move : moves) {
    auto& partition = metadata.partitions[move.partition.value()];
    if (move.stores == partition.stores)
      continue;
    partition.pending_stores = move.stores;
    partition.stores_epoch = metadata.epoch;
  }
}

/// The last step: the new stores replace the old ones, and new owners begin their terms unless they have been lost in
/// the meantime.
void enact_moves(Metadata& metadata, const Moves& moves) {
  for (auto& move : moves) {
    auto& partition = metadata.partitions[move.partition.value()];
    if (!partition.pending_stores.empty())
      set_stores(metadata, partition, move.stores);
    if (partition.owner != move.owner && !placement::is_lost(metadata, move.owner))
      set_owner(metadata, partition, move.owner);
  }
}

/// The state of a sequence's node once all its moves are made.
DaemonState state_after(const Metadata& metadata, const Sequence& sequence, const Daemon& daemon) {
  bool is_down = daemon.state == DaemonState::down;
  switch (sequence.kind) {
    case SequenceKind::join:
      return is_down ? DaemonState::down : DaemonState::up;
    case SequenceKind::drain:
      // A gateway stays in the directory until its last turns have ended.
      return daemon.self.role != Role::gateway || is_down ? DaemonState::left : daemon.state;
    case SequenceKind::repair:
      // A store that has come back in the meantime joins again if it holds no partitions any more.
      if (daemon.state == DaemonState::up && !metadata.holds_partitions(daemon.id))
        return DaemonState::registered;
      break;
  }
  return daemon.state;
}

/// Permanently removes stores that are down, once another daemon has their address and they hold no partitions.
void remove_superseded_stores(Metadata& metadata) {
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::down)
      continue;
    bool superseded = metadata.find_at(daemon.self.address) != &daemon;
    if (superseded && !metadata.holds_partitions(id))
      set_state(metadata, daemon, DaemonState::left);
  }
}

}  // namespace

void end_sequence(Metadata& metadata, DaemonId node) {
  std::erase_if(metadata.locks, [&](auto& lock) { return lock.second == node; });
  metadata.sequences.erase(node);
}

Result<Metadata> transform(Metadata metadata, const PrepareJoin& change) {
  return prepare(std::move(metadata), change.node, SequenceKind::join);
}

Result<Metadata> transform(Metadata metadata, const PrepareDrain& change) {
  return prepare(std::move(metadata), change.node, SequenceKind::drain);
}

Result<Metadata> transform(Metadata metadata, const PrepareRepair& change) {
  return prepare(std::move(metadata), change.node, SequenceKind::repair);
}

Result<Metadata> transform(Metadata metadata, const AdvanceSequence& change) {
  auto entry = metadata.sequences.find(change.node);
  if (entry == metadata.sequences.end())
    return reject(to_text(change.node), "has no sequence in progress");
  auto& sequence = entry->second;
  if (sequence.next_step != change.step)
    return reject(to_text(change.node),
                  std::string("its next step is ") + name(sequence.next_step) + ", not " + name(change.step));

  if (change.step == SequenceStep::start)
    publish_pending_stores(metadata, sequence.moves);
  if (change.step != SequenceStep::finish) {
    sequence.next_step = change.step == SequenceStep::start ? SequenceStep::mid : SequenceStep::finish;
    sequence.last_step_epoch = metadata.epoch;
    return metadata;
  }
  enact_moves(metadata, sequence.moves);
  auto& daemon = metadata.directory[change.node];
  set_state(metadata, daemon, state_after(metadata, sequence, daemon));
  end_sequence(metadata, change.node);
  remove_superseded_stores(metadata);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const CancelSequence& change) {
  auto entry = metadata.sequences.find(change.node);
  if (entry == metadata.sequences.end())
    return reject(to_text(change.node), "has no sequence in progress");
  for (auto& move : entry->second.moves) {
    auto& partition = metadata.partitions[move.partition.value()];
    if (!partition.pending_stores.empty())
      set_stores(metadata, partition, partition.stores);
  }
  // A store's drain was requested by an operator, so the store stays draining and the drain is started again. `since`
  // keeps its value from before the drain.
  auto& daemon = metadata.directory[change.node];
  if (daemon.state == DaemonState::draining && daemon.self.role == Role::gateway)
    daemon.state = DaemonState::up;
  end_sequence(metadata, change.node);
  return metadata;
}

}  // namespace mosskeel::transformations
