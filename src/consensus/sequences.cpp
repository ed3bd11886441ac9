// The supervisor's joins and drains: when a step may be taken, when one begins, and the repair after a store's loss.
#include <algorithm>

#include "consensus/supervisor.hpp"

namespace mosskeel {

bool Supervisor::passed(const Sequence& q, Millis now) const {
  auto& m = *led_.view();
  std::set<DaemonId> affected{q.node}, fresh;
  for (auto& x : q.moves) {
    auto& s = m.slots[x.slot.v];
    affected.insert(s.owner);
    affected.insert(x.owner);
    affected.insert(s.stores.begin(), s.stores.end());
    affected.insert(x.stores.begin(), x.stores.end());
    for (auto r : x.stores)
      if (std::find(s.stores.begin(), s.stores.end(), r) == s.stores.end()) fresh.insert(r);
  }
  size_t all = 0, know = 0;
  for (auto id : affected) {
    auto* d = m.find(id);
    if (!d || d->state == DaemonState::down || d->state == DaemonState::left) continue;
    ++all;
    auto* h = detector_.of(d->self.inc);
    know += h && h->known >= q.last && now - h->last < limits::silence;
  }
  if (know < majority_of(all)) return false;
  if (q.due == Step::mid)
    for (auto id : fresh) {
      auto* d = m.find(id);
      auto* h = d ? detector_.of(d->self.inc) : nullptr;
      if (!h || h->streamed < q.last) return false;
    }
  return true;
}

std::optional<Transformation> Supervisor::sequences(Millis now) {
  auto& m = *led_.view();
  for (auto& [id, q] : m.sequences) {
    auto& b = barrier_[id];
    if (b.first != q.last) b = {q.last, now};
    if (passed(q, now)) {
      out_.note(Event::sequence_step,
                std::string(name(q.due)) + " of the " + name(q.kind) + " of daemon " + std::to_string(id.v));
      return Advance{id, q.due};
    }
    auto* d = m.find(id);
    bool dead = q.kind == SequenceKind::join && d && d->state == DaemonState::down;
    if (dead || now - b.second > limits::barrier_timeout) {
      later_[id] = now + limits::barrier_timeout;
      out_.note(Event::sequence_blocked, "of daemon " + std::to_string(id.v) + " at step " + name(q.due));
      return CancelSequence{id, dead ? "its node is down" : std::string("barrier blocked before ") + name(q.due)};
    }
  }
  std::erase_if(barrier_, [&](auto& b) { return !m.sequences.count(b.first); });
  if (!m.sequences.empty()) return std::nullopt;
  for (auto& [id, d] : m.directory) {
    if (d.self.role == Role::controller || d.state != DaemonState::registered || !heard(d, now)) continue;
    if (auto i = later_.find(id); i != later_.end() && now < i->second) continue;
    return PrepareJoin{id};
  }
  return repair(now);
}

/// The places of a store that stays down go to the others, where there are enough of them to hold every copy.
std::optional<Transformation> Supervisor::repair(Millis now) {
  auto& m = *led_.view();
  for (auto& [id, d] : m.directory) {
    if (d.self.role != Role::store || d.state != DaemonState::down || !silent(d, now, limits::repair_after)) continue;
    if (auto i = later_.find(id); i != later_.end() && now < i->second) continue;
    bool holds = std::any_of(m.slots.begin(), m.slots.end(),
                             [&](auto& s) { return std::count(s.stores.begin(), s.stores.end(), id) > 0; });
    if (holds && ok(places::for_drain(m, d))) return PrepareDrain{id};
  }
  return std::nullopt;
}

}  // namespace mosskeel
