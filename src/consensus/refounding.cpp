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

bool Refounding::majority_is_alive(TimePoint now) const {
  const std::vector<DaemonId>& members = metadata_log_.view()->members;
  auto living = std::count_if(members.begin(), members.end(), [&](DaemonId id) { return !is_silent(id, now); });
  return static_cast<size_t>(living) >= majority_of(members.size());
}

/// Another controller that answers at the member's address and came after it. One that the directory knows from before
/// proves nothing: its messages were late.
std::optional<Incarnation> Refounding::successor_of(const Daemon& member) const {
  auto came_later = [&](const DaemonInfo& candidate) {
    const Daemon* known = metadata_log_.view()->find(candidate.incarnation);
    return candidate.address == member.self.address && candidate.incarnation != member.self.incarnation &&
           (!known || known->id > member.id);
  };
  const DaemonInfo& self = outbox_.id().self;
  if (came_later(self))
    return self.incarnation;
  for (const auto& [incarnation, sighting] : discovered_.all())
    if (came_later(sighting.candidate))
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
  if (majority_is_alive(now) || !may_propose) {
    gathering_since_.reset();
    return;
  }
  CoreSurvey survey = survey_core(now);
  if (!must_propose(survey)) {
    gathering_since_.reset();
    return;
  }
  if (!gathering_since_) {
    gathering_since_ = now;
    request_longer_logs();
  }
  if (now - *gathering_since_ >= kRefoundingCatchUpTime && !proposer_.refounding())
    propose(survey.lost, now);
}

/// Also looks for successors at the addresses of the silent members.
Refounding::CoreSurvey Refounding::survey_core(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  CoreSurvey survey;
  const Daemon* first_living = nullptr;
  Incarnation lowest_successor = self.incarnation;
  for (DaemonId id : metadata.members) {
    const Daemon* member = metadata.find(id);
    if (!is_silent(id, now)) {
      if (!first_living)
        first_living = member;
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
  survey.proposer = first_living ? first_living->self.incarnation : lowest_successor;
  return survey;
}

bool Refounding::must_propose(const CoreSurvey& survey) const {
  size_t members = metadata_log_.view()->members.size();
  bool majority_lost = survey.lost.size() > members - majority_of(members);
  return survey.all_silent_are_lost && majority_lost && survey.proposer == outbox_.id().self.incarnation;
}

/// A daemon outside the core may hold an epoch that only the lost members had decided.
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
  bool nobody_survives = survivors.empty();
  RefoundCluster change{metadata.generation, lost, {}};
  auto add_fresh = [&](const DaemonInfo& candidate) {
    if (!metadata.is_core_member(candidate.incarnation))
      change.fresh.push_back(candidate);
    // Where no member is left, the controllers that replace them decide in their place.
    if (nobody_survives && metadata.replaces_member(candidate))
      survivors[candidate.incarnation] = candidate.address;
  };
  add_fresh(self);
  for (const auto& [incarnation, sighting] : discovered_.all())
    if (!metadata.is_core_member(incarnation))
      add_fresh(sighting.candidate);
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

/// Why the members that an operator named are not given up; empty if they are.
std::string Refounding::refusal(const RefoundRequest& request, TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  if (!metadata.cluster)
    return "this controller holds no log";
  if (majority_is_alive(now))
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
