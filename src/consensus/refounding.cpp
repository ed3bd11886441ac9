// What a controller does when a majority of the core is gone for good.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

bool ControllerMachine::core_lives(Millis now) const {
  auto& m = *metadata_log_.view();
  auto n = std::count_if(m.members.begin(), m.members.end(),
                         [&](auto id) { return detector_.heartbeat_age(*m.find(id), now) < kCoreLossTimeout; });
  return static_cast<size_t>(n) >= majority_of(m.members.size());
}

/// Another controller that answers at this one's address and came after it. One that the directory knows from before
/// proves nothing: its words were late.
std::optional<Incarnation> ControllerMachine::successor_at(const Daemon& d) const {
  auto& self = out_.id().self;
  auto later = [&](const Candidate& c) {
    auto* known = metadata_log_.view()->find(c.incarnation);
    return c.address == d.self.address && c.incarnation != d.self.incarnation && (!known || known->id > d.id);
  };
  if (later(self))
    return self.incarnation;
  for (auto& [incarnation, f] : fellows_)
    if (later(f.first))
      return incarnation;
  return std::nullopt;
}

void ControllerMachine::survey(Millis now) {
  next_survey_ = now + kDiscoveryInterval;
  auto& m = *metadata_log_.view();
  auto& self = out_.id().self;
  std::erase_if(fellows_, [&](auto& f) { return now - f.second.second > kDiscoveryInterval * 8; });
  if (core_lives(now) || !(m.is_core_member(self.incarnation) || m.replaces_member(self))) {
    survey_since_ = 0;
    return;
  }
  std::vector<DaemonId> lost;
  bool accounted = true;
  const Daemon* first = nullptr;
  Incarnation heir = self.incarnation;
  for (auto id : m.members) {
    auto* d = m.find(id);
    if (detector_.heartbeat_age(*d, now) < kCoreLossTimeout) {
      if (!first)
        first = d;
      continue;
    }
    out_.send(d->self.address, Discover{self});
    if (auto successor = successor_at(*d)) {
      lost.push_back(id);
      heir = std::min(heir, *successor);
    } else {
      accounted = false;
    }
  }
  bool mine = first ? first->self.incarnation == self.incarnation : heir == self.incarnation;
  if (!accounted || !mine || lost.size() <= m.members.size() - majority_of(m.members.size())) {
    survey_since_ = 0;
    return;
  }
  if (survey_since_ == 0) {
    survey_since_ = now;
    for (auto& [id, d] : m.directory)
      if (d.state != DaemonState::left)
        out_.send(d.self.agent_address.empty() ? d.self.address : d.self.agent_address, Catchup{metadata_log_.epoch()});
  }
  if (now - survey_since_ >= kRefoundingCatchUpTime && !prop_.refounding())
    refound(lost, now);
}

void ControllerMachine::refound(const std::vector<DaemonId>& lost, Millis now) {
  auto& m = *metadata_log_.view();
  RefoundCluster r{m.generation, lost, {}};
  std::map<Incarnation, Address> survivors;
  for (auto id : m.members)
    if (std::find(lost.begin(), lost.end(), id) == lost.end())
      survivors[m.find(id)->self.incarnation] = m.find(id)->self.address;
  bool nobody = survivors.empty();
  auto elect = [&](const Candidate& c) {
    if (nobody && m.replaces_member(c))
      survivors[c.incarnation] = c.address;
  };
  elect(out_.id().self);
  if (!m.is_core_member(out_.id().self.incarnation))
    r.fresh.push_back(out_.id().self);
  for (auto& [incarnation, f] : fellows_)
    if (!m.is_core_member(incarnation))
      r.fresh.push_back(f.first), elect(f.first);
  out_.note(Event::refounding, std::to_string(lost.size()) + " of " + std::to_string(m.members.size()) +
                                   " members are lost at epoch " + std::to_string(m.epoch.value()));
  prop_.refound(r, survivors, now);
}

void ControllerMachine::on(const Envelope& e, const RefoundRequest& r, Millis now) {
  auto say = [&](CommitOutcome o, const std::string& why) {
    out_.send(e.from, CommitReply{r.id, o, why, metadata_log_.epoch(), std::nullopt, {}});
  };
  auto& m = *metadata_log_.view();
  if (!m.cluster)
    return say(CommitOutcome::rejected, "this controller holds no log");
  if (core_lives(now))
    return say(CommitOutcome::rejected, "a majority of the core lives; use replace core");
  for (auto id : r.lost) {
    if (std::find(m.members.begin(), m.members.end(), id) == m.members.end())
      return say(CommitOutcome::rejected, "daemon " + std::to_string(id.value()) + " is no core member");
    if (detector_.heartbeat_age(*m.find(id), now) < kCoreLossTimeout)
      return say(CommitOutcome::rejected, "daemon " + std::to_string(id.value()) + " lives");
  }
  for (auto id : m.members)
    if (std::find(r.lost.begin(), r.lost.end(), id) == r.lost.end() &&
        detector_.heartbeat_age(*m.find(id), now) >= kCoreLossTimeout)
      return say(CommitOutcome::rejected,
                 "daemon " + std::to_string(id.value()) + " is silent too, but was not named as lost");
  refound(r.lost, now);
  say(CommitOutcome::committed, "");
}

}  // namespace mosskeel
