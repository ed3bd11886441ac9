#include "consensus/commit_queue.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// Whether a change must be in force before it is acknowledged, because clients outside the cluster rely on it.
bool must_be_in_force(const Transformation& change) {
  return std::holds_alternative<ApplyConfiguration>(change) || std::holds_alternative<SetReplica>(change) ||
         std::holds_alternative<RemoveReplica>(change) || std::holds_alternative<EvacuateZone>(change) ||
         std::holds_alternative<RestoreZone>(change) || std::holds_alternative<PrepareDrain>(change) ||
         std::holds_alternative<MovePartition>(change) || std::holds_alternative<MoveAllPartitions>(change);
}

}  // namespace

bool CommitQueue::is_appended(const CommitRequest& request) const {
  return metadata_log_.view()->epoch_of_commit(request.id).has_value();
}

bool CommitQueue::add(const Envelope& envelope, const Commit& commit, TimePoint now) {
  auto extend_if_repeated = [&](CommitRequest& request) {
    if (request.id != commit.id || request.requester != envelope.from)
      return false;
    request.deadline = now + request.timeout;
    return true;
  };
  if (std::any_of(requests_.begin(), requests_.end(), extend_if_repeated))
    return false;
  if (std::any_of(appended_.begin(), appended_.end(),
                  [&](AppendedCommit& appended) { return extend_if_repeated(appended.request); }))
    return false;
  Duration timeout = outbox_.id().commit_attempt_timeout;
  if (commit.timeout_ms > 0)
    timeout = std::min(Duration(commit.timeout_ms), timeout);
  requests_.push_back(
      {commit.id, commit.change, envelope.from, commit.known_epoch, timeout, now + timeout, ++last_ticket_});
  return true;
}

void CommitQueue::reply(const CommitRequest& request, CommitOutcome outcome, const std::string& reason,
                        Rejection rejection) {
  Epoch epoch = metadata_log_.epoch();
  if (outcome != CommitOutcome::rejected)
    epoch = metadata_log_.view()->epoch_of_commit(request.id).value_or(epoch);
  auto [snapshot, entries] = metadata_log_.updates_since(request.known_epoch);
  outbox_.send_synced(request.requester, CommitReply{request.id, outcome, reason, epoch, snapshot, entries, rejection});
  if (outcome == CommitOutcome::rejected)
    outbox_.log_event(Event::rejected, describe(request.change) + ": " + reason);
  if (outcome == CommitOutcome::unknown)
    outbox_.log_event(Event::unknown_outcome, describe(request.change) + " id " + request.id);
}

std::vector<CommitRequest> CommitQueue::expire(TimePoint now) {
  std::vector<CommitRequest> expired;
  std::erase_if(requests_, [&](CommitRequest& request) {
    if (now < request.deadline || (request.proposed && is_appended(request)))
      return false;
    expired.push_back(request);
    return true;
  });
  for (const CommitRequest& request : expired)
    reply(request, CommitOutcome::unknown, "no majority of the core answered in time");
  return expired;
}

void CommitQueue::answer_up_to(uint64_t ticket, TimePoint now) {
  while (!requests_.empty() && requests_.front().ticket <= ticket) {
    const CommitRequest& first = requests_.front();
    if (is_appended(first)) {
      acknowledge_first(now);
      continue;
    }
    auto result = apply(*metadata_log_.view(), Entry{next(metadata_log_.epoch()), first.id, first.change});
    if (result.ok())
      return;
    CommitRequest rejected = take_first();
    reply(rejected, CommitOutcome::rejected, to_string(result.errors()),
          rejection_reason(*metadata_log_.view(), rejected.change));
  }
}

CommitRequest CommitQueue::take_first() {
  CommitRequest first = std::move(requests_.front());
  requests_.erase(requests_.begin());
  return first;
}

void CommitQueue::acknowledge_first(TimePoint now) {
  CommitRequest request = take_first();
  Epoch epoch = *metadata_log_.view()->epoch_of_commit(request.id);
  AppendedCommit commit{std::move(request), epoch};
  if (!try_acknowledge(commit, now))
    appended_.push_back(std::move(commit));
}

/// Replies if the change is in force or its deadline has passed; returns false if it has to wait longer.
bool CommitQueue::try_acknowledge(const AppendedCommit& commit, TimePoint now) {
  std::string missing;
  if (must_be_in_force(commit.request.change))
    missing = missing_acknowledgements_(commit.epoch, now);
  if (missing.empty()) {
    reply(commit.request, CommitOutcome::committed, "");
    return true;
  }
  if (now < commit.request.deadline)
    return false;
  reply(commit.request, CommitOutcome::unknown,
        "epoch " + std::to_string(commit.epoch.value()) + " is in the log and not yet in force: " + missing);
  return true;
}

void CommitQueue::acknowledge_in_force(TimePoint now) {
  std::erase_if(appended_, [&](const AppendedCommit& commit) { return try_acknowledge(commit, now); });
}

}  // namespace mosskeel
