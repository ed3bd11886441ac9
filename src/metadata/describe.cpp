#include "metadata/transformation.hpp"

namespace mosskeel {
namespace {
std::string id(DaemonId d) {
  return "daemon " + std::to_string(d.value());
}

/// Places of one path or service in the findings: "paths[3].host".
std::string at(const char* list, size_t i, const char* field) {
  return std::string(list) + "[" + std::to_string(i) + "]." + field;
}

void check_paths(const Configuration& m, Errors& f) {
  std::set<std::string> services, names;
  std::set<std::pair<std::string, std::string>> places;
  for (size_t i = 0; i < m.services.size(); ++i) {
    auto& s = m.services[i];
    if (s.name.empty())
      f.push_back({at("services", i, "name"), "is empty"});
    if (!services.insert(s.name).second)
      f.push_back({at("services", i, "name"), "'" + s.name + "' is there twice"});
    if (s.cold_ms < 0)
      f.push_back({at("services", i, "cold_ms"), "is below 0"});
    if (!(s.cold_per_s >= 0))
      f.push_back({at("services", i, "cold_per_s"), "is below 0"});
  }
  for (size_t i = 0; i < m.paths.size(); ++i) {
    auto& p = m.paths[i];
    if (p.name.empty())
      f.push_back({at("paths", i, "name"), "is empty"});
    if (!names.insert(p.name).second)
      f.push_back({at("paths", i, "name"), "'" + p.name + "' is there twice"});
    if (p.host.empty())
      f.push_back({at("paths", i, "host"), "is empty"});
    if (!p.prefix.starts_with("/") || !p.prefix.ends_with("/"))
      f.push_back({at("paths", i, "prefix"), "must begin and end with '/'"});
    if (!places.insert({p.host, p.prefix}).second)
      f.push_back({at("paths", i, "prefix"), "another path has this host and prefix"});
    if (p.kind != "safe" && p.kind != "unsafe" && p.kind != "streaming")
      f.push_back({at("paths", i, "kind"), "is none of safe, unsafe, streaming"});
    if (p.timeout_ms <= 0)
      f.push_back({at("paths", i, "timeout_ms"), "must be above 0 ms"});
    if (p.retention_ms < 0)
      f.push_back({at("paths", i, "retention_ms"), "is below 0"});
    uint64_t sum = 0;
    for (auto& s : p.shares) {
      sum += s.weight;
      if (!services.count(s.service))
        f.push_back({at("paths", i, "shares"), "service '" + s.service + "' is unknown"});
    }
    if (sum == 0)
      f.push_back({at("paths", i, "shares"), "the weights add up to 0"});
  }
}
}  // namespace

std::string describe(const Transformation& t) {
  return std::visit(
      overload{
          [](const std::monostate&) -> std::string { return "no change"; },
          [](const FoundCluster& x) {
            return "found cluster " + hex(x.cluster) + " with " + std::to_string(x.members.size()) + " core members";
          },
          [](const Register& x) {
            return std::string("register ") + name(x.self.role) + " at " + x.self.address + " in zone " + x.self.zone;
          },
          [](const AddCoreMember& x) { return "admit " + id(x.node) + " to the core"; },
          [](const ReplaceCoreMember& x) { return "replace core " + id(x.removed) + " by " + id(x.added); },
          [](const MarkDown& x) { return "mark " + id(x.node) + " down"; },
          [](const MarkUp& x) { return "mark " + id(x.node) + " up"; },
          [](const PrepareJoin& x) { return "prepare the join of " + id(x.node); },
          [](const PrepareDrain& x) { return "prepare the drain of " + id(x.node); },
          [](const PrepareRepair& x) { return "prepare the repair of the places of " + id(x.node); },
          [](const ForgetStore& x) { return "forget " + id(x.node) + ", a store without places"; },
          [](const AdvanceSequence& x) { return std::string(name(x.step)) + " the sequence of " + id(x.node); },
          [](const CancelSequence& x) { return "cancel the sequence of " + id(x.node) + ": " + x.reason; },
          [](const ApplyConfiguration& x) {
            return "apply a configuration of " + std::to_string(x.configuration.cells.size()) + " cells on revision " +
                   std::to_string(x.base.value());
          },
          [](const SetReplica& x) { return "replica " + x.replica.name + " is " + name(x.replica.health); },
          [](const RemoveReplica& x) { return "forget replica " + x.name; },
          [](const EvacuateZone& x) { return "evacuate zone " + x.zone; },
          [](const RestoreZone& x) { return "restore zone " + x.zone; },
          [](const MoveAllPartitions& x) { return "move the routes of " + id(x.from) + " to " + id(x.to); },
          [](const RefoundCluster& x) {
            return "found the core anew as generation " + std::to_string(x.generation + 1) + " without " +
                   std::to_string(x.lost.size()) + " lost members";
          },
          [](const BeginQuorumChange&) -> std::string { return "recount who counts in touch and acknowledgements"; },
          [](const FinishQuorumChange& x) { return "end the recount of epoch " + std::to_string(x.since.value()); },
          [](const UpdateReplicas& x) {
            return "list " + std::to_string(x.updated.size()) + " replicas, forget " + std::to_string(x.removed.size());
          },
          [](const RemoveCoreMember& x) { return "take " + id(x.node) + " out of the core"; },
          [](const MovePartition& x) {
            return "move slot " + std::to_string(x.partition.value()) + " to " + id(x.owner);
          },
      },
      t);
}

Errors validate(const Configuration& m) {
  Errors f;
  std::set<std::string> seen;
  for (size_t i = 0; i < m.cells.size(); ++i) {
    auto& c = m.cells[i];
    auto at = "cells[" + std::to_string(i) + "]";
    if (c.name.empty() || c.name.find('/') != std::string::npos)
      f.push_back({at + ".name", "must be a word without '/'"});
    if (!seen.insert(c.name).second)
      f.push_back({at + ".name", "'" + c.name + "' is there twice"});
    if (c.budget == 0)
      f.push_back({at + ".budget", "must be above 0 tokens"});
    if (c.turn_limit == 0)
      f.push_back({at + ".turn_limit", "must be above 0 tokens"});
    if (c.turn_limit > c.budget)
      f.push_back({at + ".turn_limit", "exceeds the budget"});
    if (c.retention_ms < 1000)
      f.push_back({at + ".retention_ms", "must be at least 1000 ms"});
    std::set<std::string> names;
    for (size_t j = 0; j < c.routes.size(); ++j) {
      auto& r = c.routes[j];
      auto p = at + ".routes[" + std::to_string(j) + "]";
      if (r.name.empty())
        f.push_back({p + ".name", "is empty"});
      if (!names.insert(r.name).second)
        f.push_back({p + ".name", "'" + r.name + "' is there twice"});
      if (r.kind != "model" && r.kind != "app")
        f.push_back({p + ".kind", "is neither model nor app"});
    }
  }
  check_paths(m, f);
  return f;
}

}  // namespace mosskeel
