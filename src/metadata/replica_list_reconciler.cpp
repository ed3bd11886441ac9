#include "metadata/replica_list_reconciler.hpp"

#include <algorithm>

#include "metadata/constants.hpp"

namespace mosskeel {
namespace {

/// How many consecutive readings must lack a replica before it is removed.
constexpr uint32_t kMissingReadingsBeforeRemoval = 2;

/// Whether two records differ at most in health and the related times.
bool same_apart_from_health(const Replica& left, const Replica& right) {
  return left.kind == right.kind && left.zone == right.zone && left.url == right.url &&
         left.capacity == right.capacity && left.service == right.service;
}

const Replica* find_logged(const Replicas& log, const Replica& listed) {
  auto entry = log.find(listed.name);
  bool known = entry != log.end() && same_apart_from_health(entry->second, listed);
  return known ? &entry->second : nullptr;
}

/// Whether this replica is warming up after its zone was restored, while the list reports it as ready.
bool is_ready_after_restore(const Replica* logged, const Replica& listed) {
  return logged && logged->health == ReplicaHealth::warming_up && logged->warm_up_ms == 0 &&
         listed.health == ReplicaHealth::ready;
}

}  // namespace

bool ReplicaListReconciler::needs_update(TrackedReplica& tracked, bool first_seen, const Replica* logged,
                                         const Replica& listed, TimePoint now) {
  // At the first reading, the warm-up recorded in the log may have been running for some time, so only a longer one is
  // a change.
  auto expected_ready_at = tracked.expected_ready_at;
  if (first_seen)
    expected_ready_at = now + Duration(logged ? std::min(logged->warm_up_ms, listed.warm_up_ms) : 0);

  if (is_ready_after_restore(logged, listed)) {
    if (!tracked.ready_after_restore_since)
      tracked.ready_after_restore_since = now;
    if (now - *tracked.ready_after_restore_since < kMaxReplicaListLag)
      return false;
  } else {
    tracked.ready_after_restore_since.reset();
  }

  bool longer = Duration(listed.warm_up_ms) > std::max(Duration::zero(), expected_ready_at - now) + kWarmUpTolerance;
  bool not_committed = logged && tracked.reported_against && logged->since == *tracked.reported_against;
  bool restarts_warm_up = listed.health == ReplicaHealth::warming_up && (longer || not_committed);
  if (logged && logged->health == listed.health && !restarts_warm_up) {
    tracked.expected_ready_at = expected_ready_at;
    tracked.reported_against.reset();
    return false;
  }
  tracked.expected_ready_at = now + Duration(listed.warm_up_ms);
  tracked.reported_against.reset();
  if (logged)
    tracked.reported_against = logged->since;
  return true;
}

std::optional<UpdateReplicas> ReplicaListReconciler::reconcile(const Replicas& log, const std::vector<Replica>& listed,
                                                               TimePoint now) {
  UpdateReplicas change{};
  std::set<std::string> listed_names;
  for (auto& replica : listed) {
    if (!listed_names.insert(replica.name).second)
      continue;
    auto [entry, first_seen] = tracked_.try_emplace(replica.name);
    entry->second.missing = 0;
    if (needs_update(entry->second, first_seen, find_logged(log, replica), replica, now))
      change.updated.push_back(replica);
  }
  for (auto& [name, replica] : log) {
    // A cell's own replica is not listed.
    if (replica.service.empty() || listed_names.count(name))
      continue;
    if (++tracked_[name].missing >= kMissingReadingsBeforeRemoval)
      change.removed.push_back(name);
  }
  std::erase_if(tracked_, [&](auto& entry) { return !listed_names.count(entry.first) && !log.count(entry.first); });
  if (change.updated.empty() && change.removed.empty())
    return std::nullopt;
  return change;
}

}  // namespace mosskeel
