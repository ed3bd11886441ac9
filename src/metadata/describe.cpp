#include "metadata/transform.hpp"

namespace mosskeel {
namespace {
std::string id(DaemonId d) { return "daemon " + std::to_string(d.v); }
}  // namespace

std::string describe(const Transformation& t) {
  return std::visit(
      overload{
          [](const std::monostate&) -> std::string { return "no change"; },
          [](const Found& x) { return "found cluster " + hex(x.cluster) + " with " + std::to_string(x.members.size()) + " core members"; },
          [](const Register& x) { return std::string("register ") + name(x.self.role) + " at " + x.self.addr + " in zone " + x.self.zone; },
          [](const AdmitCore& x) { return "admit " + id(x.fresh) + " to the core"; },
          [](const ReplaceCore& x) { return "replace core " + id(x.old) + " by " + id(x.fresh); },
          [](const MarkDown& x) { return "mark " + id(x.node) + " down"; },
          [](const MarkUp& x) { return "mark " + id(x.node) + " up"; },
          [](const PrepareJoin& x) { return "prepare the join of " + id(x.node); },
          [](const PrepareDrain& x) { return "prepare the drain of " + id(x.node); },
          [](const Advance& x) { return std::string(name(x.step)) + " the sequence of " + id(x.node); },
          [](const CancelSequence& x) { return "cancel the sequence of " + id(x.node) + ": " + x.reason; },
          [](const ApplyManifest& x) { return "apply a manifest of " + std::to_string(x.manifest.cells.size()) + " cells on revision " + std::to_string(x.base.v); },
          [](const SetReplica& x) { return "replica " + x.replica.name + " is " + name(x.replica.fitness); },
          [](const DropReplica& x) { return "forget replica " + x.name; },
          [](const EvacuateZone& x) { return "evacuate zone " + x.zone; },
          [](const RestoreZone& x) { return "restore zone " + x.zone; },
          [](const MoveRoutes& x) { return "move the routes of " + id(x.from) + " to " + id(x.to); },
          [](const Refound& x) { return "found the core anew as generation " + std::to_string(x.generation + 1) + " without " + std::to_string(x.lost.size()) + " lost members"; },
          [](const Recount&) -> std::string { return "recount who counts in touch and acknowledgements"; },
          [](const Recounted& x) { return "end the recount of epoch " + std::to_string(x.since.v); },
          [](const MoveSlot& x) { return "move slot " + std::to_string(x.slot.v) + " to " + id(x.owner); },
      },
      t);
}

Findings check(const Manifest& m) {
  Findings f;
  std::set<std::string> seen;
  for (size_t i = 0; i < m.cells.size(); ++i) {
    auto& c = m.cells[i];
    auto at = "cells[" + std::to_string(i) + "]";
    if (c.name.empty() || c.name.find('/') != std::string::npos) f.push_back({at + ".name", "must be a word without '/'"});
    if (!seen.insert(c.name).second) f.push_back({at + ".name", "'" + c.name + "' is there twice"});
    if (c.budget == 0) f.push_back({at + ".budget", "must be above 0 tokens"});
    if (c.turn_limit == 0) f.push_back({at + ".turn_limit", "must be above 0 tokens"});
    if (c.turn_limit > c.budget) f.push_back({at + ".turn_limit", "exceeds the budget"});
    if (c.retention_ms < 1000) f.push_back({at + ".retention_ms", "must be at least 1000 ms"});
    std::set<std::string> names;
    for (size_t j = 0; j < c.routes.size(); ++j) {
      auto& r = c.routes[j];
      auto p = at + ".routes[" + std::to_string(j) + "]";
      if (r.name.empty()) f.push_back({p + ".name", "is empty"});
      if (!names.insert(r.name).second) f.push_back({p + ".name", "'" + r.name + "' is there twice"});
      if (r.kind != "model" && r.kind != "app") f.push_back({p + ".kind", "is neither model nor app"});
    }
  }
  return f;
}

}  // namespace mosskeel
