#include "model/observer.hpp"

#include <algorithm>

namespace mosskeel::model {
namespace {

/// Whether a value is of a later generation than another, or of a later epoch of the same.
bool is_newer(const Metadata& value, const Metadata& other) {
  return std::tie(value.generation, value.epoch) > std::tie(other.generation, other.epoch);
}

bool holds(const Durable& disk, uint64_t generation, Epoch epoch, const std::string& commit) {
  if (disk.generation > generation || disk.epoch >= epoch)
    return true;
  return disk.open == epoch && disk.accepted && disk.accepted->entry.commit_id == commit;
}

}  // namespace

void Observer::fail(std::string what) {
  if (broken_.empty())
    broken_ = std::move(what);
}

void Observer::saw(Incarnation incarnation, const MetadataSnapshot& shown) {
  if (!shown->cluster)
    return;
  auto& told = told_[incarnation];
  if (shown->generation < told.generation)
    fail("incarnation " + hex(incarnation.value()) + " went back to an earlier generation");
  told.generation = std::max(told.generation, shown->generation);
  check_agreement(shown);
  check_contains_acknowledged(*shown);
  if (is_newer(*shown, *newest_))
    newest_ = shown;
}

void Observer::check_agreement(const MetadataSnapshot& shown) {
  if (shown->generation == 1 && founded_.insert(shown->cluster).second && founded_.size() > 1)
    fail("two clusters were founded");
  auto [known, first] = decided_.try_emplace(EpochOfCluster{shown->cluster, shown->epoch}, shown);
  if (!first) {
    if (known->second != shown && !(*known->second == *shown))
      fail("two values at epoch " + std::to_string(shown->epoch.value()));
    return;
  }
  auto before = decided_.find(EpochOfCluster{shown->cluster, Epoch{shown->epoch.value() - 1}});
  if (before == decided_.end())
    return;
  check_majorities_meet(*before->second, *shown);
  check_newcomers_hold_log(*before->second, *shown);
}

/// A newcomer's disk must hold the log up to its own entry in the directory before it counts as a member.
void Observer::check_newcomers_hold_log(const Metadata& before, const Metadata& after) {
  for (auto id : after.members) {
    const auto* member = after.find(id);
    auto disk = disks_.find(member->self.incarnation);
    if (before.is_core_member(member->self.incarnation) || disk == disks_.end())
      continue;
    if (disk->second.generation < after.generation || disk->second.epoch < member->since)
      fail("daemon " + std::to_string(id.value()) + " became a member at epoch " + std::to_string(after.epoch.value()) +
           " before it held the log");
  }
}

void Observer::check_majorities_meet(const Metadata& before, const Metadata& after) {
  std::set<DaemonId> all(before.members.begin(), before.members.end());
  all.insert(after.members.begin(), after.members.end());
  if (majority_of(before.members.size()) + majority_of(after.members.size()) <= all.size())
    fail("majorities of the members at epochs " + std::to_string(before.epoch.value()) + " and " +
         std::to_string(after.epoch.value()) + " need not meet");
}

void Observer::check_contains_acknowledged(const Metadata& metadata) {
  for (const auto& change : acknowledged_)
    if (metadata.epoch >= change.epoch && !metadata.epoch_of_commit(change.commit))
      fail("acknowledged change " + change.commit + " is missing at epoch " + std::to_string(metadata.epoch.value()) +
           " of generation " + std::to_string(metadata.generation));
}

void Observer::sent(const Envelope& envelope) {
  auto& told = told_[envelope.from_incarnation];
  if (const auto* heartbeat = std::get_if<Heartbeat>(&envelope.body))
    told.epoch = std::max(told.epoch, heartbeat->known);
  if (const auto* reply = std::get_if<HeartbeatReply>(&envelope.body))
    told.epoch = std::max(told.epoch, reply->epoch);
  const auto* promise = std::get_if<Promise>(&envelope.body);
  if (promise && promise->granted &&
      std::tie(promise->epoch, promise->ballot) > std::tie(told.promised_at, told.promised)) {
    told.promised_at = promise->epoch;
    told.promised = promise->ballot;
  }
  const auto* accepted = std::get_if<Accepted>(&envelope.body);
  if (accepted && accepted->granted &&
      std::tie(accepted->epoch, accepted->ballot) > std::tie(told.accepted_at, told.accepted)) {
    told.accepted_at = accepted->epoch;
    told.accepted = accepted->ballot;
  }
}

void Observer::restarted(Incarnation incarnation, const Durable& found) {
  auto entry = told_.find(incarnation);
  if (entry == told_.end())
    return;
  auto& told = entry->second;
  auto who = "incarnation " + hex(incarnation.value()) + " ";
  // What it had not told may be lost.
  told.generation = found.generation;
  if (found.epoch < told.epoch)
    fail(who + "told epoch " + std::to_string(told.epoch.value()) + " and went back by a restart");
  bool promise_kept =
      found.epoch >= told.promised_at || (found.open == told.promised_at && found.promised >= told.promised);
  if (told.promised_at.value() && !promise_kept)
    fail(who + "forgot a promise by a restart");
  bool vote_kept = found.epoch >= told.accepted_at ||
                   (found.open == told.accepted_at && found.accepted && found.accepted->ballot >= told.accepted);
  if (told.accepted_at.value() && !vote_kept)
    fail(who + "forgot a vote by a restart");
}

void Observer::check_one_for_each_base(const std::string& id, const Transformation& change) {
  const auto* configuration = std::get_if<ApplyConfiguration>(&change);
  if (!configuration)
    return;
  auto [winner, first] = by_base_.emplace(configuration->base, id);
  if (!first && winner->second != id)
    fail("two changes on one base were acknowledged: " + winner->second + ", " + id);
}

void Observer::answered(const Transformation& change, const CommitReply& reply) {
  if (reply.outcome == CommitOutcome::unknown)
    return;
  if (reply.outcome == CommitOutcome::committed)
    note_acknowledged(change, reply);
  else
    note_rejected(change, reply);
}

void Observer::note_acknowledged(const Transformation& change, const CommitReply& reply) {
  check_one_for_each_base(reply.id, change);
  if (rejected_.count(reply.id))
    fail("change " + reply.id + " was refused and then acknowledged");
  bool known = std::any_of(acknowledged_.begin(), acknowledged_.end(),
                           [&](const auto& earlier) { return earlier.commit == reply.id; });
  if (!known)
    acknowledged_.push_back({reply.id, reply.epoch, change});
  check_majority_holds_acknowledged();
}

void Observer::note_rejected(const Transformation& change, const CommitReply& reply) {
  rejected_.insert(reply.id);
  if (newest_->epoch_of_commit(reply.id))
    return fail("change " + reply.id + " was decided and then refused");
  if (apply(*newest_, Entry{next(newest_->epoch), reply.id, change}).ok())
    fail("change " + reply.id + " was refused though the newest epoch takes it");
}

void Observer::disks(std::map<Incarnation, Durable> disks) {
  disks_ = std::move(disks);
  check_majority_holds_acknowledged();
}

/// How many of the newest members lack the change on their disks.
size_t Observer::count_lacking(const Acknowledged& change) const {
  size_t lacking = 0;
  for (auto id : newest_->members) {
    auto disk = disks_.find(newest_->find(id)->self.incarnation);
    bool lacks = disk != disks_.end() && !holds(disk->second, newest_->generation, change.epoch, change.commit);
    lacking += lacks ? 1 : 0;
  }
  return lacking;
}

void Observer::check_majority_holds_acknowledged() {
  // The members that a re-founding names come empty; `check_contains_acknowledged` holds on.
  if (newest_->generation != 1)
    return;
  for (const auto& change : acknowledged_)
    if (count_lacking(change) >= majority_of(newest_->members.size()))
      fail("a majority of the members at epoch " + std::to_string(newest_->epoch.value()) +
           " lacks the acknowledged change " + change.commit);
}

}  // namespace mosskeel::model
