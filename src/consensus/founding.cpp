#include "consensus/founding.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

void Founding::initialize(const Recovered& recovered) {
  const Identity& id = outbox_.id();
  bool empty_disk = !recovered.checkpoint && recovered.journal.empty();
  if (id.forbid_founding || !empty_disk)
    return;
  founders_ = id.seeds;
  if (founders_.empty())
    founders_ = {id.self.address};
  outbox_.write(codec::encode(ControllerRecord{FoundersRecord{founders_}}));
}

bool Founding::is_founder(const Address& address) const {
  return std::find(founders_.begin(), founders_.end(), address) != founders_.end();
}

bool Founding::may_vote(TimePoint now) const {
  return is_founder(outbox_.id().self.address) && now - last_evidence_at_ > kFoundingHoldOff;
}

void Founding::tick(TimePoint now) {
  if (now < next_discovery_at_)
    return;
  next_discovery_at_ = now + kDiscoveryInterval;
  discovered_.expire(now);
  const DaemonInfo& self = outbox_.id().self;
  for (const Address& seed : outbox_.id().seeds)
    if (seed != self.address)
      outbox_.send(seed, Discover{self});
  for (const auto& [incarnation, peer] : discovered_.all())
    outbox_.send(peer.info.address, Discover{self});
  if (may_vote(now) && proposer_.idle())
    propose_if_due(now);
}

void Founding::handle_reply(const DiscoverReply& reply, TimePoint now) {
  discovered_.record(reply.self, now);
  const DaemonInfo& self = outbox_.id().self;
  for (const DaemonInfo& candidate : reply.candidates)
    if (candidate.incarnation != self.incarnation && !discovered_.contains(candidate.incarnation))
      outbox_.send(candidate.address, Discover{self});
}

/// This controller and the recently seen founders, one for each address, lowest incarnation first.
DaemonInfos Founding::candidates() const {
  const DaemonInfo& self = outbox_.id().self;
  std::map<Address, DiscoveredControllers::Peer> latest;
  for (const auto& [incarnation, peer] : discovered_.all()) {
    const Address& address = peer.info.address;
    if (!is_founder(address) || address == self.address)
      continue;
    DiscoveredControllers::Peer& known = latest[address];
    if (peer.last_seen_at > known.last_seen_at)
      known = peer;
  }
  DaemonInfos candidates{self};
  for (const auto& [address, peer] : latest)
    candidates.push_back(peer.info);
  std::sort(candidates.begin(), candidates.end(),
            [](const DaemonInfo& left, const DaemonInfo& right) { return left.incarnation < right.incarnation; });
  return candidates;
}

/// The candidate with the lowest incarnation proposes first: after the shorter delay if it sees all founders, else
/// after the straggler timeout. The others propose later, in case that candidate fails.
Duration Founding::proposal_delay(const DaemonInfos& candidates) const {
  bool lowest = candidates.front().incarnation == outbox_.id().self.incarnation;
  if (!lowest)
    return kFoundingStragglerTimeout * 3;
  bool complete = candidates.size() == founders_.size();
  return complete ? kFoundingDelay : kFoundingStragglerTimeout;
}

void Founding::propose_if_due(TimePoint now) {
  const Identity& id = outbox_.id();
  DaemonInfos voters = candidates();
  size_t quorum_size = majority_of(founders_.size());
  if (voters.size() < quorum_size || now - started_at_ <= proposal_delay(voters))
    return;
  DaemonInfos members = voters;
  if (members.size() > id.core_size)
    members.resize(id.core_size);
  outbox_.log_event(Event::founding,
                    std::to_string(voters.size()) + " of " + std::to_string(founders_.size()) + " candidates");
  uint64_t cluster = digest(hex(id.self.incarnation.value()));
  proposer_.found(FoundCluster{cluster, id.core_size, members, id.max_core_size, id.replication_factor}, voters,
                  quorum_size, now);
}

}  // namespace mosskeel
