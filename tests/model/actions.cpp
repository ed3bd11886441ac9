// Which actions are possible in a state, and what each does.
#include <algorithm>

#include "model/cluster.hpp"

namespace mosskeel::model {
namespace {

/// Cuts of two nodes are offered only where that is no majority.
constexpr size_t kFewestNodesForPairCut = 4;

const char* name_of(Kind kind) {
  static const char* const names[] = {
      "deliver", "duplicate", "lose", "deliver_and_crash", "tick", "tick_all", "restart",
      "wipe",    "hold_disk", "sync", "disk_back",         "cut",  "heal",     "order"};
  return names[static_cast<int>(kind)];
}

/// The bit of a node in a set of nodes.
size_t bit(size_t node) {
  return size_t{1} << node;
}

}  // namespace

std::string describe(const Action& action) {
  auto text = std::string(name_of(action.kind)) + " node " + std::to_string(action.node) + " index " +
              std::to_string(action.index);
  if (action.ms != Duration{})
    text += " ms " + std::to_string(action.ms.count());
  return text;
}

std::string describe(const Trace& trace) {
  std::string text;
  for (const auto& action : trace)
    text += describe(action) + "\n";
  return text;
}

bool Cluster::possible(const Action& action) const {
  bool has_message = action.index < network_.size();
  switch (action.kind) {
    case Kind::deliver:
    case Kind::lose:
      return has_message;
    case Kind::duplicate:
      return has_message && budget.duplicates > 0;
    case Kind::deliver_and_crash:
      return has_message && budget.crashes > 0;
    case Kind::restart:
      return budget.crashes > 0;
    case Kind::wipe:
      return budget.wipes > 0;
    case Kind::disk_back:
      return budget.returns > 0 && nodes_[action.node].lost;
    case Kind::hold_disk:
      return budget.holds > 0 && !nodes_[action.node].held;
    case Kind::sync:
      return nodes_[action.node].held;
    case Kind::cut:
      return budget.cuts > 0 && !cut_;
    case Kind::heal:
      return cut_ != 0;
    case Kind::order:
      return budget.resends > 0 && action.index < orders_.size();
    case Kind::tick:
    case Kind::tick_all:
      return true;
  }
  return false;
}

std::vector<Action> Cluster::enabled() const {
  std::vector<Action> candidates;
  add_network_actions(candidates);
  for (size_t node = 0; node < nodes_.size(); ++node)
    add_node_actions(candidates, node);
  candidates.push_back({Kind::heal, 0, 0, {}});
  std::erase_if(candidates, [this](const Action& action) { return !possible(action); });
  return candidates;
}

/// The first message of each link may arrive; trouble is offered for the first of all only, which bounds the search.
void Cluster::add_network_actions(std::vector<Action>& candidates) const {
  std::set<Link> links;
  for (size_t i = 0; i < network_.size(); ++i)
    if (links.insert({network_[i].envelope->from_incarnation, network_[i].to}).second)
      candidates.push_back({Kind::deliver, network_[i].to, i, {}});
  if (network_.empty()) {
    candidates.push_back({Kind::tick_all, 0, 0, options_.quiet_step});
    return;
  }
  for (auto kind : {Kind::lose, Kind::duplicate, Kind::deliver_and_crash})
    candidates.push_back({kind, network_[0].to, 0, {}});
}

void Cluster::add_node_actions(std::vector<Action>& candidates, size_t node) const {
  for (auto kind : {Kind::sync, Kind::restart, Kind::wipe, Kind::disk_back})
    candidates.push_back({kind, node, 0, {}});
  candidates.push_back({Kind::cut, node, bit(node), {}});
  if (nodes_.size() >= kFewestNodesForPairCut && node > 0)
    candidates.push_back({Kind::cut, node, bit(node) | bit(0), {}});
  candidates.push_back({Kind::hold_disk, node, 0, {}});
  candidates.push_back({Kind::tick, node, 0, options_.lone_step});
  for (size_t i = 0; i < orders_.size(); ++i)
    candidates.push_back({Kind::order, node, i, {}});
}

void Cluster::apply(const Action& action) {
  carry_out(action);
  drain();
}

void Cluster::carry_out(const Action& action) {
  switch (action.kind) {
    case Kind::deliver:
      return receive(action.node, take(action.index));
    case Kind::duplicate:
      --budget.duplicates;
      return receive(action.node, network_[action.index].envelope);
    case Kind::lose:
      take(action.index);
      return;
    case Kind::deliver_and_crash:
      return deliver_and_crash(action);
    case Kind::tick:
      return tick(action.node, action.ms);
    case Kind::tick_all:
      return tick_all(action.ms);
    case Kind::restart:
      --budget.crashes;
      return crash(action.node);
    case Kind::wipe:
      --budget.wipes;
      return wipe(action.node);
    case Kind::disk_back:
      --budget.returns;
      return return_disk(action.node);
    case Kind::hold_disk:
      --budget.holds;
      nodes_[action.node].held = true;
      return;
    case Kind::sync:
      nodes_[action.node].held = false;
      return sync(action.node);
    case Kind::cut:
      --budget.cuts;
      return cut_off(action.index);
    case Kind::heal:
      cut_ = 0;
      return;
    case Kind::order:
      --budget.resends;
      return submit_to(action.node, action.index);
  }
}

/// The message is handled with a disk that syncs nothing, so that only what may leave at once does.
void Cluster::deliver_and_crash(const Action& action) {
  --budget.crashes;
  nodes_[action.node].held = true;
  receive(action.node, take(action.index));
  crash(action.node);
}

void Cluster::tick_all(Duration time) {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    tick(node, time);
    drain();
  }
}

/// What is in flight between the two sides is lost.
void Cluster::cut_off(size_t nodes) {
  cut_ = nodes;
  std::erase_if(network_, [&](const Flying& flying) {
    auto from = at(flying.envelope->from);
    return from && severed(*from, flying.to);
  });
}

/// The operator's order reaches a controller through its own process.
void Cluster::submit_to(size_t node, size_t order) {
  Envelope envelope{};
  envelope.from = "local:operator" + std::to_string(order);
  envelope.cluster = nodes_[node].view->cluster;
  envelope.epoch = nodes_[node].view->epoch;
  envelope.body = Commit{orders_[order].id, orders_[order].change, envelope.epoch, 0};
  inject(node, std::move(envelope));
}

}  // namespace mosskeel::model
