#include "consensus/refounding.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {
namespace {

std::string daemon_name(DaemonId id) {
  return "daemon " + std::to_string(id.value());
}

}  // namespace

bool Refounding::is_silent(DaemonId member, TimePoint now) const {
  return detector_.heartbeat_age(*metadata_log_.view()->find(member), now) >= kCoreLossTimeout;
}

bool Refounding::has_live_majority(TimePoint now) const {
  const std::vector<DaemonId>& members = metadata_log_.view()->members;
  auto alive = std::count_if(members.begin(), members.end(), [&](DaemonId id) { return !is_silent(id, now); });
  return static_cast<size_t>(alive) >= majority_of(members.size());
}

/// Another controller that answers at the member's address and started after it. A controller that registered before
/// the member proves nothing, because its messages may have been delayed.
std::optional<Incarnation> Refounding::successor_of(const Daemon& member) const {
  auto came_later = [&](const DaemonInfo& candidate) {
    const Daemon* known = metadata_log_.view()->find(candidate.incarnation);
    return candidate.address == member.self.address && candidate.incarnation != member.self.incarnation &&
           (!known || known->id > member.id);
  };
  const DaemonInfo& self = outbox_.id().self;
  if (came_later(self))
    return self.incarnation;
  for (const auto& [incarnation, peer] : discovered_.all())
    if (came_later(peer.info))
      return incarnation;
  return std::nullopt;
}

void Refounding::tick(TimePoint now) {
  if (now < next_survey_at_)
    return;
  next_survey_at_ = now + kDiscoveryInterval;
  discovered_.expire(now);
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  bool may_propose = metadata.is_core_member(self.incarnation) || metadata.replaces_member(self);
  if (has_live_majority(now) || !may_propose) {
    fetching_logs_since_.reset();
    return;
  }
  CoreSurvey survey = survey_core(now);
  if (!must_propose(survey)) {
    fetching_logs_since_.reset();
    return;
  }
  if (!fetching_logs_since_) {
    fetching_logs_since_ = now;
    request_longer_logs();
  }
  if (now - *fetching_logs_since_ >= kRefoundingCatchUpTime && !proposer_.refounding())
    propose(survey.lost, now);
}

/// Also sends discovery messages to the addresses of the silent members, to find their successors.
Refounding::CoreSurvey Refounding::survey_core(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  CoreSurvey survey;
  const Daemon* first_alive = nullptr;
  Incarnation lowest_successor = self.incarnation;
  for (DaemonId id : metadata.members) {
    const Daemon* member = metadata.find(id);
    if (!is_silent(id, now)) {
      if (!first_alive)
        first_alive = member;
      continue;
    }
    outbox_.send(member->self.address, Discover{self});
    if (auto successor = successor_of(*member)) {
      survey.lost.push_back(id);
      lowest_successor = std::min(lowest_successor, *successor);
    } else {
      survey.all_silent_are_lost = false;
    }
  }
  survey.proposer = first_alive ? first_alive->self.incarnation : lowest_successor;
  return survey;
}

bool Refounding::must_propose(const CoreSurvey& survey) const {
  size_t members = metadata_log_.view()->members.size();
  bool majority_lost = survey.lost.size() > members - majority_of(members);
  return survey.all_silent_are_lost && majority_lost && survey.proposer == outbox_.id().self.incarnation;
}

/// Asks all daemons, because a daemon outside the core may have an epoch that otherwise only lost members knew.
void Refounding::request_longer_logs() {
  for (const auto& [id, daemon] : metadata_log_.view()->directory) {
    if (daemon.state == DaemonState::left)
      continue;
    const Address& address = daemon.self.agent_address.empty() ? daemon.self.address : daemon.self.agent_address;
    outbox_.send(address, Catchup{metadata_log_.epoch()});
  }
}

void Refounding::propose(const std::vector<DaemonId>& lost, TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  std::map<Incarnation, Address> survivors;
  for (DaemonId id : metadata.members)
    if (!contains(lost, id))
      survivors[metadata.find(id)->self.incarnation] = metadata.find(id)->self.address;
  bool no_member_left = survivors.empty();
  RefoundCluster change{metadata.generation, lost, {}};
  auto add_if_new = [&](const DaemonInfo& candidate) {
    if (!metadata.is_core_member(candidate.incarnation))
      change.fresh.push_back(candidate);
    // If no member is left, the controllers that replace the members vote instead.
    if (no_member_left && metadata.replaces_member(candidate))
      survivors[candidate.incarnation] = candidate.address;
  };
  add_if_new(self);
  for (const auto& [incarnation, peer] : discovered_.all())
    if (!metadata.is_core_member(incarnation))
      add_if_new(peer.info);
  outbox_.log_event(Event::refounding, std::to_string(lost.size()) + " of " + std::to_string(metadata.members.size()) +
                                           " members are lost at epoch " + std::to_string(metadata.epoch.value()));
  proposer_.refound(change, survivors, now);
}

void Refounding::handle(const Envelope& envelope, const RefoundRequest& request, TimePoint now) {
  std::string reason = refusal(request, now);
  CommitOutcome outcome = reason.empty() ? CommitOutcome::committed : CommitOutcome::rejected;
  if (reason.empty())
    propose(request.lost, now);
  outbox_.send(envelope.from,
               CommitReply{request.id, outcome, reason, metadata_log_.epoch(), std::nullopt, {}, Rejection::none});
}

/// Why an operator's re-founding request is refused; empty if it is accepted.
std::string Refounding::refusal(const RefoundRequest& request, TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  if (!metadata.cluster)
    return "this controller holds no log";
  if (has_live_majority(now))
    return "a majority of the core is alive; use replace core";
  for (DaemonId id : request.lost) {
    if (!contains(metadata.members, id))
      return daemon_name(id) + " is not a core member";
    if (!is_silent(id, now))
      return daemon_name(id) + " is alive";
  }
  for (DaemonId id : metadata.members)
    if (!contains(request.lost, id) && is_silent(id, now))
      return daemon_name(id) + " is also silent, but was not named as lost";
  return "";
}

}  // namespace mosskeel
