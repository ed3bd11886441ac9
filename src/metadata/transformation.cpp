#include <algorithm>

#include "metadata/constants.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel {
namespace {

using namespace steps;
using steps::go;

void stores_to(Metadata& m, Partition& s, std::vector<DaemonId> v) {
  s.stores = std::move(v);
  s.pending_stores.clear();
  s.stores_epoch = m.epoch;
}

void owner_to(Metadata& m, Partition& s, DaemonId id) {
  s.owner = id;
  s.term = m.epoch;
}

void unlock(Metadata& m, DaemonId node) {
  std::erase_if(m.locks, [&](auto& l) { return l.second == node; });
  m.sequences.erase(node);
}

void scatter(Metadata& m, DaemonId node) {
  auto load = placement::partitions_per_front(m);
  for (auto& s : m.partitions) {
    if (s.owner != node)
      continue;
    auto to = placement::least_loaded_front(m, load, node);
    if (to.value() != 0)
      ++load[to];
    owner_to(m, s, to);
  }
}

R go(Metadata m, const std::monostate&) {
  return m;
}

/// A front that starts again takes over the partitions of what ran at its address: that one runs no more, the term
/// fences it.
void inherit(Metadata& m, DaemonId old, DaemonId fresh) {
  for (auto& s : m.partitions)
    if (s.owner == old)
      owner_to(m, s, fresh);
}

/// A controller that starts for the first time at another's address proves that the other runs no more.
void supersede(Metadata& m, const Address& address, DaemonId fresh) {
  for (auto& [id, d] : m.directory) {
    if (d.self.address != address || d.self.role != Role::controller || d.state == DaemonState::left)
      continue;
    d.state = m.is_core_member(d.self.incarnation) ? DaemonState::down : DaemonState::left;
    d.since = m.epoch;
    m.replace_in_quorum(id, fresh);
  }
}

/// A controller that was taken out of the core while it was silent may come back as a spare.
R register_again(Metadata m, const Daemon& known, const Candidate& self) {
  if (known.state != DaemonState::left || self.role != Role::controller || known.self != self)
    return no("register", "incarnation " + hex(self.incarnation.value()) + " is registered already");
  auto* other = m.find_at(self.address);
  if (other && other->state != DaemonState::down)
    return no("register", self.address + " belongs to " + who(other->id));
  auto& d = m.directory[known.id];
  d.state = DaemonState::up;
  d.since = m.epoch;
  return m;
}

R go(Metadata m, const Register& r) {
  if (auto* known = m.find(r.self.incarnation))
    return register_again(m, *known, r.self);
  bool proves_end = r.self.role == Role::controller;
  for (auto& [id, d] : m.directory)
    if (d.self.address == r.self.address && d.state != DaemonState::left) {
      bool ended =
          d.state == DaemonState::down || d.self.role == Role::front || (proves_end && d.self.role == Role::controller);
      if (!ended)
        return no("register", r.self.address + " belongs to " + who(id) + ", which is not known to be down");
    }
  DaemonId fresh{m.next_id++};
  if (proves_end)
    supersede(m, r.self.address, fresh);
  for (auto& [id, d] : m.directory)
    if (d.self.address == r.self.address && (d.state == DaemonState::down || d.self.role == Role::front))
      m.replace_in_quorum(id, fresh);
  for (auto& [id, d] : m.directory)
    if (d.self.address == r.self.address && d.state != DaemonState::left && d.self.role == Role::front) {
      d.state = DaemonState::left;
      d.since = m.epoch;
      unlock(m, id);
      inherit(m, id, fresh);
    }
  m.directory[fresh] = {fresh, r.self, r.self.role == Role::controller ? DaemonState::up : DaemonState::registered,
                        m.epoch};
  return m;
}

R go(Metadata m, const MarkDown& t) {
  auto i = m.directory.find(t.node);
  if (i == m.directory.end())
    return no(who(t.node), "is unknown");
  auto& d = i->second;
  if (d.state == DaemonState::down || d.state == DaemonState::left)
    return no(who(t.node), std::string("is ") + name(d.state) + " already");
  bool leaves = d.state == DaemonState::draining && d.self.role == Role::front && !m.sequences.count(t.node);
  d.state = leaves ? DaemonState::left : DaemonState::down;
  d.since = m.epoch;
  if (d.self.role == Role::front) {
    unlock(m, t.node);
    scatter(m, t.node);
  }
  return m;
}

R go(Metadata m, const MarkUp& t) {
  auto i = m.directory.find(t.node);
  if (i == m.directory.end() || i->second.state != DaemonState::down)
    return no(who(t.node), "is not down");
  bool joins =
      i->second.self.role == Role::front || (i->second.self.role == Role::store && !m.holds_partitions(t.node));
  i->second.state = joins ? DaemonState::registered : DaemonState::up;
  i->second.since = m.epoch;
  return m;
}

R prepare(Metadata m, DaemonId node, SequenceKind k) {
  auto* d = m.find(node);
  if (!d || d->self.role == Role::controller)
    return no(who(node), "is no front worker or store");
  if (m.sequences.count(node))
    return no(who(node), "has a sequence in progress");
  if (d->state == DaemonState::left)
    return no(who(node), "has left");
  if (k == SequenceKind::join && (d->state == DaemonState::down || d->state == DaemonState::draining))
    return no(who(node), std::string("is ") + name(d->state));
  if (k == SequenceKind::repair && (d->self.role != Role::store || d->state != DaemonState::down))
    return no(who(node), "is no store that is down");
  std::vector<PartitionMove> moves;
  if (k == SequenceKind::join) {
    moves = placement::plan_join(m, *d);
  } else if (k == SequenceKind::repair) {
    moves = placement::plan_repair(m, *d);
    if (moves.empty())
      return no(who(node), "holds no places that other stores could take now");
  } else {
    auto r = placement::plan_drain(m, *d);
    if (!r.ok())
      return r.errors();
    moves = r.value();
  }
  for (auto& x : moves)
    if (auto l = m.locks.find(x.partition); l != m.locks.end())
      return no("slot " + std::to_string(x.partition.value()), "is locked by the sequence of " + who(l->second));
  for (auto& x : moves)
    m.locks[x.partition] = node;
  if (k == SequenceKind::drain && d->state != DaemonState::down)
    m.directory[node].state = DaemonState::draining;
  m.sequences[node] = {node, k, SequenceStep::start, m.epoch, m.epoch, moves};
  return m;
}
R go(Metadata m, const PrepareJoin& t) {
  return prepare(std::move(m), t.node, SequenceKind::join);
}
R go(Metadata m, const PrepareDrain& t) {
  return prepare(std::move(m), t.node, SequenceKind::drain);
}

R go(Metadata m, const PrepareRepair& t) {
  return prepare(std::move(m), t.node, SequenceKind::repair);
}
R go(Metadata m, const ForgetStore& t) {
  auto i = m.directory.find(t.node);
  if (i == m.directory.end() || i->second.self.role != Role::store || i->second.state != DaemonState::down)
    return no(who(t.node), "is no store that is down");
  if (m.holds_partitions(t.node) || m.sequences.count(t.node))
    return no(who(t.node), "still holds places");
  i->second.state = DaemonState::left;
  i->second.since = m.epoch;
  return m;
}

/// What becomes of a sequence's node when all its moves are made. A front that drains lingers until its turns are over.
void conclude(Metadata& m, const Sequence& q) {
  auto& d = m.directory[q.node];
  switch (q.kind) {
    case SequenceKind::join:
      if (d.state != DaemonState::down)
        d.state = DaemonState::up;
      break;
    case SequenceKind::drain:
      if (d.self.role != Role::front || d.state == DaemonState::down)
        d.state = DaemonState::left;
      break;
    case SequenceKind::repair:
      if (d.state == DaemonState::up && !m.holds_partitions(q.node))
        d.state = DaemonState::registered;
      break;
  }
  d.since = m.epoch;
}

R go(Metadata m, const AdvanceSequence& t) {
  auto i = m.sequences.find(t.node);
  if (i == m.sequences.end())
    return no(who(t.node), "has no sequence in progress");
  auto& q = i->second;
  if (q.next_step != t.step)
    return no(who(t.node), std::string("its next step is ") + name(q.next_step) + ", not " + name(t.step));
  if (t.step == SequenceStep::start)
    for (auto& x : q.moves)
      if (auto& s = m.partitions[x.partition.value()]; x.stores != s.stores)
        s.pending_stores = x.stores, s.stores_epoch = m.epoch;
  if (t.step != SequenceStep::finish) {
    q.next_step = t.step == SequenceStep::start ? SequenceStep::mid : SequenceStep::finish;
    q.last_step_epoch = m.epoch;
    return m;
  }
  for (auto& x : q.moves) {
    auto& s = m.partitions[x.partition.value()];
    if (!s.pending_stores.empty())
      stores_to(m, s, x.stores);
    auto* o = m.find(x.owner);
    if (s.owner != x.owner && o && o->state != DaemonState::down && o->state != DaemonState::left)
      owner_to(m, s, x.owner);
  }
  conclude(m, q);
  unlock(m, t.node);
  for (auto& [id, x] : m.directory)
    if (x.self.role == Role::store && x.state == DaemonState::down && m.find_at(x.self.address) != &x &&
        !m.holds_partitions(id))
      x.state = DaemonState::left, x.since = m.epoch;
  return m;
}

R go(Metadata m, const CancelSequence& t) {
  auto i = m.sequences.find(t.node);
  if (i == m.sequences.end())
    return no(who(t.node), "has no sequence in progress");
  for (auto& x : i->second.moves)
    if (auto& s = m.partitions[x.partition.value()]; !s.pending_stores.empty())
      stores_to(m, s, s.stores);
  auto& d = m.directory[t.node];
  if (d.state == DaemonState::draining && d.self.role == Role::front)
    d.state = DaemonState::up;
  unlock(m, t.node);
  return m;
}

R go(Metadata m, const EvacuateZone& t) {
  if (m.evacuated.count(t.zone))
    return no("zone " + t.zone, "is evacuated already");
  std::set<std::string> zones;
  for (auto& [id, d] : m.directory)
    if (d.state != DaemonState::left)
      zones.insert(d.self.zone);
  for (auto& [n, r] : m.replicas)
    zones.insert(r.zone);
  if (!zones.count(t.zone))
    return no("zone " + t.zone, "is unknown");
  m.evacuated.insert(t.zone);
  if (placement::partitions_per_front(m).empty())
    return no("zone " + t.zone, "holds the last front workers");
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::front && d.self.zone == t.zone)
      scatter(m, id);
  return m;
}

R go(Metadata m, const RestoreZone& t) {
  if (!m.evacuated.erase(t.zone))
    return no("zone " + t.zone, "is not evacuated");
  for (auto& [n, r] : m.replicas)
    if (r.zone == t.zone && r.health == ReplicaHealth::ready)
      r.health = ReplicaHealth::warming_up, r.since = m.epoch;
  return m;
}

R go(Metadata m, const MovePartition& t) {
  if (t.partition.value() >= m.partitions.size())
    return no("slot " + std::to_string(t.partition.value()), "is unknown");
  if (auto l = m.locks.find(t.partition); l != m.locks.end())
    return no("slot " + std::to_string(t.partition.value()), "is locked by the sequence of " + who(l->second));
  if (!placement::partitions_per_front(m).count(t.owner))
    return no(who(t.owner), "is no front worker that may own partitions");
  if (m.partitions[t.partition.value()].owner == t.owner)
    return no("slot " + std::to_string(t.partition.value()), "is owned by " + who(t.owner) + " already");
  owner_to(m, m.partitions[t.partition.value()], t.owner);
  return m;
}

R go(Metadata m, const MoveAllPartitions& t) {
  if (!m.find(t.from))
    return no(who(t.from), "is unknown");
  if (t.from == t.to)
    return no(who(t.to), "is the same node");
  if (!placement::partitions_per_front(m).count(t.to))
    return no(who(t.to), "is no front worker that may own partitions");
  for (auto& [s, l] : m.locks)
    if (m.partitions[s.value()].owner == t.from)
      return no("slot " + std::to_string(s.value()), "is locked by the sequence of " + who(l));
  size_t n = 0;
  for (auto& s : m.partitions)
    if (s.owner == t.from)
      owner_to(m, s, t.to), ++n;
  if (n == 0)
    return no(who(t.from), "owns no partitions");
  return m;
}

void remember(Metadata& m, const Entry& e) {
  if (e.commit_id.empty())
    return;
  m.applied_commits.push_back({e.commit_id, e.epoch});
  if (m.applied_commits.size() > kRememberedCommits)
    m.applied_commits.erase(m.applied_commits.begin());
  auto* order = std::get_if<ApplyConfiguration>(&e.change);
  if (!order)
    return;
  m.applied_configurations.push_back({order->base, e.epoch, digest(e.commit_id)});
  if (m.applied_configurations.size() > kRememberedConfigurationChanges)
    m.applied_configurations.erase(m.applied_configurations.begin());
}

}  // namespace

Result<Metadata> apply(const Metadata& m, const Entry& e) {
  if (e.epoch != next(m.epoch))
    return no("epoch", std::to_string(e.epoch.value()) + " does not follow " + std::to_string(m.epoch.value()));
  auto c = m;
  c.epoch = e.epoch;
  remember(c, e);
  return std::visit([&](auto& t) { return go(std::move(c), t); }, e.change);
}

}  // namespace mosskeel
