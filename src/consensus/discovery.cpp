// How controllers without a log find each other and found the cluster.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

/// The candidates are fixed by the first start's seeds and kept on disk, so that every founding asks a majority of one
/// and the same set, whatever each controller has seen. An empty disk at a later start is no candidate: what it may
/// have promised before is lost.
void ControllerMachine::init_founders(const Recovered& r) {
  bool empty_disk = !r.checkpoint && r.journal.empty();
  if (out_.id().later_start || !empty_disk)
    return;
  founders_ = out_.id().seeds;
  if (founders_.empty())
    founders_ = {out_.id().self.address};
  out_.write(codec::pack(ControllerRecord{FoundersRecord{founders_}}));
}

bool ControllerMachine::founder(const Address& a) const {
  return std::find(founders_.begin(), founders_.end(), a) != founders_.end();
}

/// Whether this controller may vote for or propose a founding now.
bool ControllerMachine::may_found(Millis now) const {
  return founder(out_.id().self.address) && now - evidence_ > kFoundingHoldOff;
}

/// The candidates heard lately, one for each address, lowest incarnation first.
Candidates ControllerMachine::candidates() const {
  auto& self = out_.id().self;
  std::map<Address, std::pair<Candidate, Millis>> latest;
  for (auto& [incarnation, f] : fellows_) {
    auto& [fellow, heard] = f;
    if (!founder(fellow.address) || fellow.address == self.address)
      continue;
    auto& known = latest[fellow.address];
    if (heard > known.second)
      known = f;
  }
  Candidates v{self};
  for (auto& [address, f] : latest)
    v.push_back(f.first);
  std::sort(v.begin(), v.end(), [](auto& a, auto& b) { return a.incarnation < b.incarnation; });
  return v;
}

void ControllerMachine::discover(Millis now) {
  next_discover_ = now + kDiscoveryInterval;
  std::erase_if(fellows_, [&](auto& f) { return now - f.second.second > kDiscoveryInterval * 8; });
  auto& self = out_.id().self;
  for (auto& a : out_.id().seeds)
    if (a != self.address)
      out_.send(a, Discover{self});
  for (auto& [incarnation, f] : fellows_)
    out_.send(f.first.address, Discover{self});
  if (may_found(now) && prop_.idle())
    found(now);
}

/// The lowest candidate proposes once it sees all others, or a majority after a while; anybody if that one fails.
void ControllerMachine::found(Millis now) {
  auto& id = out_.id();
  auto electors = candidates();
  size_t votes = majority_of(founders_.size());
  if (electors.size() < votes)
    return;
  Millis age = now - born_;
  bool complete = electors.size() == founders_.size();
  bool lowest = electors.front().incarnation == id.self.incarnation;
  auto patience = lowest ? (complete ? kFoundingDelay : kFoundingStragglerTimeout) : kFoundingStragglerTimeout * 3;
  if (age <= patience)
    return;
  auto members = electors;
  if (members.size() > id.core_size)
    members.resize(id.core_size);
  out_.note(Event::founding,
            std::to_string(electors.size()) + " of " + std::to_string(founders_.size()) + " candidates");
  FoundCluster f{digest(hex(id.self.incarnation.value())), id.core_size, members, id.max_core_size,
                 id.replication_factor};
  prop_.found(f, electors, votes, now);
}

}  // namespace mosskeel
