#include "consensus/sequence_barrier.hpp"
#include "consensus/constants.hpp"

#include <algorithm>

namespace mosskeel::sequence_barrier {
namespace {

bool is_lost(const Daemon* daemon) {
  return !daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left;
}

/// What a daemon said of itself, if that was lately; what it said before a silence is no word on what it holds now.
const PeerStatus* lately(const Daemon* daemon, const FailureDetector& detector, Millis now) {
  auto* status = daemon ? detector.status_of(daemon->self.incarnation) : nullptr;
  return status && now - status->last_heartbeat_at < kHeartbeatTimeout ? status : nullptr;
}

/// Owners and stores of all places that a sequence moves, before and after.
std::set<DaemonId> touched(const Metadata& metadata, const Sequence& sequence) {
  std::set<DaemonId> ids{sequence.node};
  for (auto& move : sequence.moves) {
    auto& partition = metadata.partitions[move.partition.value()];
    ids.insert(partition.owner);
    ids.insert(move.owner);
    ids.insert(partition.stores.begin(), partition.stores.end());
    ids.insert(move.stores.begin(), move.stores.end());
  }
  return ids;
}

}  // namespace

std::set<DaemonId> newcomers(const Metadata& metadata, const Sequence& sequence) {
  std::set<DaemonId> ids;
  for (auto& move : sequence.moves) {
    auto& old = metadata.partitions[move.partition.value()].stores;
    for (auto id : move.stores)
      if (std::find(old.begin(), old.end(), id) == old.end())
        ids.insert(id);
  }
  return ids;
}

bool is_known(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, Millis now) {
  size_t all = 0, know = 0;
  for (auto id : touched(metadata, sequence)) {
    auto* daemon = metadata.find(id);
    if (is_lost(daemon))
      continue;
    ++all;
    auto* status = lately(daemon, detector, now);
    know += status && status->known_epoch >= sequence.last_step_epoch;
  }
  return know >= majority_of(all);
}

bool is_streamed(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, Millis now) {
  auto ids = newcomers(metadata, sequence);
  Epoch begun{};
  for (auto& move : sequence.moves)
    if (auto& partition = metadata.partitions[move.partition.value()]; !partition.pending_stores.empty())
      begun = std::max(begun, partition.stores_epoch);
  return std::all_of(ids.begin(), ids.end(), [&](auto id) {
    auto* daemon = metadata.find(id);
    auto* status = is_lost(daemon) ? nullptr : lately(daemon, detector, now);
    return status && status->streamed_epoch >= begun;
  });
}

bool has_lost_target(const Metadata& metadata, const Sequence& sequence) {
  auto ids = newcomers(metadata, sequence);
  return std::any_of(ids.begin(), ids.end(), [&](auto id) { return is_lost(metadata.find(id)); });
}

std::string endangered(const Metadata& metadata, const FailureDetector& detector, Millis now) {
  std::string text;
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& stores = metadata.partitions[i].stores;
    bool lacking = std::any_of(stores.begin(), stores.end(), [&](auto id) {
      auto* daemon = metadata.find(id);
      return is_lost(daemon) || !lately(daemon, detector, now);
    });
    if (lacking)
      text += " " + std::to_string(i);
  }
  return text;
}

}  // namespace mosskeel::sequence_barrier
