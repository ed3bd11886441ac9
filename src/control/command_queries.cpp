#include <algorithm>
#include <sstream>

#include "base/json.hpp"
#include "control/command_language.hpp"

namespace mosskeel::command_language {
namespace {

std::string ids(const std::vector<DaemonId>& v) {
  std::string s;
  for (auto id : v)
    s += (s.empty() ? "" : ",") + std::to_string(id.value());
  return s.empty() ? "-" : s;
}

void fleet(std::ostream& o, const Metadata& m) {
  std::map<DaemonId, int> own, keep;
  for (auto& s : m.partitions) {
    ++own[s.owner];
    for (auto r : s.stores)
      ++keep[r];
  }
  for (auto& [id, d] : m.directory) {
    o << id.value() << " " << name(d.self.role) << " " << name(d.state) << " zone " << d.self.zone << " at "
      << d.self.address;
    if (!d.self.http_address.empty())
      o << " http " << d.self.http_address;
    if (m.is_core_member(d.self.incarnation))
      o << " core";
    if (own.count(id))
      o << " owns " << own[id];
    if (keep.count(id))
      o << " keeps " << keep[id];
    o << "\n";
  }
  for (auto& z : m.evacuated)
    o << "zone " << z << " evacuated\n";
}

bool about(const Transformation& t, DaemonId id) {
  return std::visit(
      overload{[&](const MarkDown& x) { return x.node == id; }, [&](const MarkUp& x) { return x.node == id; },
               [&](const PrepareJoin& x) { return x.node == id; }, [&](const PrepareDrain& x) { return x.node == id; },
               [&](const PrepareRepair& x) { return x.node == id; }, [&](const ForgetStore& x) { return x.node == id; },
               [&](const AdvanceSequence& x) { return x.node == id; },
               [&](const CancelSequence& x) { return x.node == id; },
               [&](const AddCoreMember& x) { return x.node == id; },
               [&](const ReplaceCoreMember& x) { return x.removed == id || x.added == id; },
               [&](const MovePartition& x) { return x.owner == id; },
               [&](const MoveAllPartitions& x) { return x.from == id || x.to == id; },
               [](const auto&) {
                 return false;
               }},
      t);
}

void slot_line(std::ostream& o, const Metadata& m, uint32_t i) {
  auto& s = m.partitions[i];
  o << "slot " << i << ": owned by daemon " << s.owner.value() << " since epoch " << s.term.value() << ", kept by "
    << ids(s.stores) << " since epoch " << s.stores_epoch.value();
  if (!s.pending_stores.empty())
    o << ", moving to " << ids(s.pending_stores);
  if (auto l = m.locks.find(PartitionId{i}); l != m.locks.end())
    o << ", locked by the sequence of daemon " << l->second.value();
  o << "\n";
}

}  // namespace

std::string show(const ShowQuery& s, const Metadata& m) {
  std::ostringstream o;
  if (s.what == "epoch")
    o << "epoch " << m.epoch.value() << " revision " << m.revision.value() << " cluster " << hex(m.cluster) << "\n";
  if (s.what == "fleet")
    fleet(o, m);
  if (s.what == "cells")
    for (auto& c : m.configuration.cells)
      o << c.name << "\n";
  if (s.what == "configuration")
    o << "revision " << m.revision.value() << "\n" << json::write(m.configuration).dump(2) << "\n";
  if (s.what == "replicas")
    for (auto& [n, r] : m.replicas)
      o << n << " " << r.kind << " " << name(r.health) << " zone " << r.zone << " places " << r.capacity << " at "
        << r.url << "\n";
  if (s.what == "slots")
    for (uint32_t i = 0; i < m.partitions.size(); ++i)
      slot_line(o, m, i);
  if (s.what == "sequences")
    for (auto& [id, q] : m.sequences)
      o << name(q.kind) << " of daemon " << id.value() << " since epoch " << q.started_epoch.value() << ", next step "
        << name(q.next_step) << ", " << q.moves.size() << " slots\n";
  if (s.what == "cell") {
    auto* c = m.configuration.cell(s.name);
    if (!c)
      return "no: cell " + s.name + " is unknown";
    o << "revision " << m.revision.value() << "\n" << json::write(*c).dump(2) << "\n";
  }
  return "yes\n" + o.str();
}

std::string explain(const ExplainQuery& x, const Metadata& m, const std::vector<Entry>& recent) {
  std::ostringstream o;
  auto line = [&](const Entry& e) {
    o << "epoch " << e.epoch.value() << ": " << describe(e.change) << "\n";
  };
  if (x.what == "program") {
    auto k = x.name.find('/');
    if (k == std::string::npos || m.partitions.empty())
      return "no: a program is named CELL/PROGRAM";
    auto s = partition_of(x.name.substr(0, k), x.name.substr(k + 1));
    slot_line(o, m, s.value());
    return "yes\n" + o.str();
  }
  if (x.name.empty() || x.name.size() > 18 || x.name.find_first_not_of("0123456789") != std::string::npos)
    return "no: '" + x.name + "' is no number";
  auto n = std::stoull(x.name);
  if (x.what == "node") {
    auto* d = m.find(DaemonId{n});
    if (!d)
      return "no: daemon " + x.name + " is unknown";
    o << name(d->self.role) << " " << name(d->state) << " since epoch " << d->since.value() << " at " << d->self.address
      << " zone " << d->self.zone << "\n";
    if (auto q = m.sequences.find(d->id); q != m.sequences.end())
      o << "its " << name(q->second.kind) << " waits for step " << name(q->second.next_step) << "\n";
    for (auto& e : recent)
      if (about(e.change, d->id))
        line(e);
  }
  if (x.what == "slot") {
    if (n >= m.partitions.size())
      return "no: slot " + x.name + " is unknown";
    slot_line(o, m, static_cast<uint32_t>(n));
    for (auto& e : recent)
      if (e.epoch == m.partitions[n].term || e.epoch == m.partitions[n].stores_epoch)
        line(e);
  }
  if (x.what == "epoch") {
    auto i = std::find_if(recent.begin(), recent.end(), [&](auto& e) { return e.epoch.value() == n; });
    if (i == recent.end())
      return "no: epoch " + x.name + (n > m.epoch.value() ? " is not reached yet" : " lies behind the checkpoint");
    line(*i);
  }
  return "yes\n" + o.str();
}

}  // namespace mosskeel::command_language
