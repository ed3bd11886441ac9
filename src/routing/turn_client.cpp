#include "routing/turn_client.hpp"

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

const Daemon* TurnClient::owner(const std::string& program) const {
  auto history = turn_history_name(program);
  return find_owner(*metadata_log_.view(), partition_of(history.cell, history.program));
}

template <class Body>
void TurnClient::send(Unanswered<Body>& request, TimePoint now) {
  auto* daemon = owner(request.body.program);
  if (!daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left)
    return;
  request.last_sent_at = now;
  request.owner = daemon->id;
  outbox_.send(daemon->self.address, request.body, daemon->self.incarnation);
}

template <class Body>
bool TurnClient::is_due(const Unanswered<Body>& request, TimePoint now) const {
  auto elapsed = now - request.last_sent_at;
  if (elapsed >= kStoreRetryInterval)
    return true;
  auto* daemon = owner(request.body.program);
  bool owner_changed = daemon && daemon->id != request.owner;
  return owner_changed && elapsed >= kTickInterval;
}

bool TurnClient::handle(const Envelope& envelope, TimePoint now) {
  bool from_own_router = envelope.from == kRoutingAddress;
  if (auto* request = std::get_if<ReserveTurn>(&envelope.body); request && from_own_router) {
    on_reserve(*request, now);
    return true;
  }
  if (auto* request = std::get_if<CommitTurn>(&envelope.body); request && from_own_router) {
    on_commit(*request, now);
    return true;
  }
  if (auto* reply = std::get_if<ReserveTurnReply>(&envelope.body)) {
    on_reply(*reply, now);
    return true;
  }
  if (auto* reply = std::get_if<CommitTurnReply>(&envelope.body)) {
    on_reply(*reply, now);
    return true;
  }
  return false;
}

void TurnClient::on_reserve(const ReserveTurn& request, TimePoint now) {
  auto& reservation = reservations_[request.attempt];
  reservation = {request, now, {}, {}};
  send(reservation, now);
}

void TurnClient::on_commit(const CommitTurn& request, TimePoint now) {
  reservations_.erase(request.attempt);
  granted_.erase(request.attempt);
  auto& commit = commits_[request.attempt];
  commit = {request, now, {}, {}};
  send(commit, now);
}

void TurnClient::on_reply(const ReserveTurnReply& reply, TimePoint now) {
  bool granted = reply.status == 200;
  if (granted)
    release_late_grant(reply.attempt, now);
  auto reservation = reservations_.find(reply.attempt);
  if (reservation == reservations_.end())
    return;
  bool wrong_owner = reply.status == 0;
  if (wrong_owner) {
    reservation->second.owner = {};
    return;
  }
  if (granted)
    granted_.insert(reply.attempt);
  else
    outbox_.log_event(Event::turn_refused,
                      reply.attempt + " refused with status " + std::to_string(reply.status) + ": " + reply.reason);
  reservations_.erase(reservation);
  outbox_.send(kRoutingAddress, reply);
}

/// Resends the "not run" outcome of a turn that was granted only after the owner had failed to match the outcome.
void TurnClient::release_late_grant(const std::string& attempt, TimePoint now) {
  auto unmatched = unmatched_commits_.find(attempt);
  if (unmatched == unmatched_commits_.end())
    return;
  auto& commit = commits_[attempt];
  commit = {std::move(unmatched->second.body), now, {}, {}};
  send(commit, now);
  unmatched_commits_.erase(unmatched);
}

void TurnClient::on_reply(const CommitTurnReply& reply, TimePoint now) {
  auto commit = commits_.find(reply.attempt);
  if (commit == commits_.end())
    return;
  bool not_run = commit->second.body.status == 0;
  if (!reply.committed && not_run)
    unmatched_commits_[reply.attempt] = {std::move(commit->second.body), now};
  commits_.erase(commit);
  outbox_.send(kRoutingAddress, reply);
}

void TurnClient::tick(TimePoint now) {
  std::erase_if(unmatched_commits_,
                [&](auto& entry) { return now - entry.second.acknowledged_at > kOutcomeTransferTimeout; });
  tick_reservations(now);
  tick_commits(now);
}

void TurnClient::tick_reservations(TimePoint now) {
  for (auto entry = reservations_.begin(); entry != reservations_.end();) {
    auto& reservation = entry->second;
    if (now - reservation.first_sent_at <= std::min(kTurnReservationTimeout, Duration(reservation.body.timeout_ms))) {
      if (is_due(reservation, now))
        send(reservation, now);
      ++entry;
      continue;
    }
    auto request = std::move(reservation.body);
    entry = reservations_.erase(entry);
    auto& commit = commits_[request.attempt];
    commit = {CommitTurn{request.attempt, request.program, 0, 0, false, {}}, now, {}, {}};
    send(commit, now);
    auto retry_after_ms = static_cast<uint32_t>(kDefaultRetryAfter.count());
    outbox_.send(kRoutingAddress,
                 ReserveTurnReply{request.attempt, 503, retry_after_ms, "the program's owner does not answer", {}});
  }
}

void TurnClient::tick_commits(TimePoint now) {
  for (auto entry = commits_.begin(); entry != commits_.end();) {
    auto& commit = entry->second;
    if (now - commit.first_sent_at <= kOutcomeTransferTimeout) {
      if (is_due(commit, now))
        send(commit, now);
      ++entry;
      continue;
    }
    outbox_.send(kRoutingAddress, CommitTurnReply{entry->first, false});
    entry = commits_.erase(entry);
  }
}

}  // namespace mosskeel
