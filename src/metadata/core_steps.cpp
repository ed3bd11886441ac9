// Transformations of the core and of what operators and platform say.
#include <algorithm>

#include "metadata/constants.hpp"
#include "metadata/core_membership.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel::steps {

R go(Metadata m, const FoundCluster& f) {
  if (m.cluster)
    return no("found", "this cluster is founded already");
  m.cluster = f.cluster;
  m.core_size = f.core_size;
  m.max_core_size = std::max(f.max_core_size, f.core_size);
  m.configured_replication_factor = f.replication_factor ? f.replication_factor : kDefaultHistoryReplicas;
  m.generation = 1;
  m.next_id = 1;
  m.partitions.resize(kPartitionCount);
  for (auto& c : f.members) {
    DaemonId id{m.next_id++};
    m.directory[id] = {id, c, DaemonState::up, m.epoch};
    m.members.push_back(id);
  }
  m.quorum_members = m.members;
  return m;
}

R go(Metadata m, const AddCoreMember& a) {
  auto* d = m.find(a.node);
  if (!d || d->self.role != Role::controller)
    return no(who(a.node), "is not a registered controller");
  if (d->state != DaemonState::up)
    return no(who(a.node), std::string("is ") + name(d->state));
  if (m.is_core_member(d->self.incarnation))
    return no(who(a.node), "is a core member already");
  auto down = count_down_members(m);
  auto most = std::max<size_t>(m.core_size, m.max_core_size);
  if (m.members.size() - down >= most || m.members.size() > most)
    return no(who(a.node), "the core has its full number of members");
  m.members.push_back(a.node);
  m.core_size = std::max(m.core_size, static_cast<uint32_t>(m.members.size() - down));
  return m;
}

R go(Metadata m, const ReplaceCoreMember& r) {
  auto *o = m.find(r.removed), *f = m.find(r.added);
  if (!f || f->self.role != Role::controller || m.is_core_member(f->self.incarnation))
    return no(who(r.added), "is not a spare controller");
  if (f->state != DaemonState::up)
    return no(who(r.added), std::string("is ") + name(f->state));
  auto i = std::find(m.members.begin(), m.members.end(), r.removed);
  if (i == m.members.end() || !o)
    return no(who(r.removed), "is not a core member");
  if (o->state != DaemonState::down)
    return no(who(r.removed), std::string("is a live member (") + name(o->state) + ")");
  *i = r.added;
  m.directory[r.removed].state = DaemonState::left;
  m.directory[r.removed].since = m.epoch;
  return m;
}

R go(Metadata m, const RefoundCluster& t) {
  if (t.generation != m.generation)
    return no("generation", "is " + std::to_string(m.generation) + ", not " + std::to_string(t.generation));
  std::erase_if(m.members, [&](auto id) { return std::find(t.lost.begin(), t.lost.end(), id) != t.lost.end(); });
  for (auto id : t.lost)
    if (auto i = m.directory.find(id); i != m.directory.end())
      i->second.state = DaemonState::left, i->second.since = m.epoch;
  for (auto& c : t.fresh) {
    if (m.members.size() >= m.core_size)
      break;
    auto* d = m.find(c.incarnation);
    DaemonId id = d ? d->id : DaemonId{m.next_id++};
    m.directory[id] = {id, c, DaemonState::up, m.epoch};
    if (std::find(m.members.begin(), m.members.end(), id) == m.members.end())
      m.members.push_back(id);
    for (auto old : t.lost)
      if (auto* o = m.find(old); o && o->self.address == c.address)
        m.replace_in_quorum(old, id);
  }
  if (m.members.empty())
    return no("refound", "no member would be left");
  m.former_clusters.push_back(m.cluster);
  m.cluster = next_cluster_id(m.cluster, m.generation++);
  return m;
}

R go(Metadata m, const ApplyConfiguration& t) {
  if (t.base != m.revision)
    return no("revision",
              "built on " + std::to_string(t.base.value()) + ", in force is " + std::to_string(m.revision.value()));
  if (auto f = validate(t.configuration); !f.empty())
    return f;
  if (t.revision.value() && t.revision <= m.revision)
    return no("revision", "is not above " + std::to_string(m.revision.value()));
  m.configuration = t.configuration;
  m.revision = t.revision.value() ? t.revision : Revision{m.revision.value() + 1};
  return m;
}

R go(Metadata m, const UpdateReplicas& t) {
  auto before = m.replicas;
  for (auto& n : t.removed)
    m.replicas.erase(n);
  for (auto r : t.updated) {
    if (r.name.empty() || r.service.empty() || !r.url.starts_with("http://"))
      return no(r.name, "lacks a name, a service or an address");
    auto i = m.replicas.find(r.name);
    // A cold one's time counts anew from each time that it is told.
    bool stays = i != m.replicas.end() && i->second.health == r.health && r.health != ReplicaHealth::warming_up;
    r.since = stays ? i->second.since : m.epoch;
    m.replicas[r.name] = r;
  }
  if (m.replicas == before)
    return no("replicas", "are so already");
  return m;
}

R go(Metadata m, const RemoveCoreMember& t) {
  auto i = std::find(m.members.begin(), m.members.end(), t.node);
  auto* o = m.find(t.node);
  if (i == m.members.end() || !o)
    return no(who(t.node), "is not a core member");
  if (o->state != DaemonState::down)
    return no(who(t.node), std::string("is a live member (") + name(o->state) + ")");
  if (m.members.size() <= kMinCoreSize)
    return no(who(t.node), "the core would be too small without it");
  m.members.erase(i);
  m.directory[t.node].state = DaemonState::left;
  m.directory[t.node].since = m.epoch;
  return m;
}

R go(Metadata m, const SetReplica& t) {
  auto& r = t.replica;
  Errors f;
  if (r.name.empty())
    f.push_back({"name", "is empty"});
  if (r.kind != "model" && r.kind != "app")
    f.push_back({"kind", "is neither model nor app"});
  if (!r.url.starts_with("http://"))
    f.push_back({"url", "does not begin with http://"});
  if (r.capacity > kMaxReplicaCapacity)
    f.push_back({"places", "must be from 1 to " + std::to_string(kMaxReplicaCapacity)});
  if (!f.empty())
    return f;
  auto c = r;
  if (c.capacity == 0)
    c.capacity = kDefaultReplicaCapacity;
  auto i = m.replicas.find(r.name);
  c.since = m.epoch;
  if (i != m.replicas.end()) {
    auto same = i->second;
    same.since = c.since;
    if (same == c)
      return no(r.name, "is so already");
  }
  m.replicas[r.name] = c;
  return m;
}

R go(Metadata m, const RemoveReplica& t) {
  if (!m.replicas.erase(t.name))
    return no(t.name, "is no replica");
  return m;
}

R go(Metadata m, const BeginQuorumChange&) {
  if (!m.incoming_quorum_members.empty())
    return no("recount", "the one of epoch " + std::to_string(m.quorum_change_epoch.value()) + " is not over");
  auto v = eligible_quorum_members(m);
  if (v == m.quorum_members)
    return no("recount", "nobody came or left");
  m.incoming_quorum_members = std::move(v);
  m.quorum_change_epoch = m.epoch;
  return m;
}

R go(Metadata m, const FinishQuorumChange& t) {
  if (m.incoming_quorum_members.empty() || m.quorum_change_epoch != t.since)
    return no("recount", "none of epoch " + std::to_string(t.since.value()) + " is under way");
  m.quorum_members = std::exchange(m.incoming_quorum_members, {});
  return m;
}

}  // namespace mosskeel::steps

namespace mosskeel {

std::vector<DaemonId> eligible_quorum_members(const Metadata& m) {
  std::vector<DaemonId> v;
  for (auto& [id, d] : m.directory)
    if (d.state != DaemonState::left && (d.state != DaemonState::down || m.find_at(d.self.address) == &d))
      v.push_back(id);
  return v;
}

}  // namespace mosskeel
