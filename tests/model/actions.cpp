// Which actions are possible in a state, and what each does.
#include <algorithm>

#include "model/cluster.hpp"

namespace mosskeel::model {

std::string describe(const Action& a) {
  static const char* const names[] = {
      "deliver", "duplicate", "lose", "deliver_and_crash", "tick", "tick_all", "restart",
      "wipe",    "hold_disk", "sync", "disk_back",         "cut",  "heal",     "order"};
  auto s = std::string(names[static_cast<int>(a.kind)]);
  return s + " node " + std::to_string(a.node) + " index " + std::to_string(a.index) +
         (a.ms != Duration{} ? " ms " + std::to_string(a.ms.count()) : "");
}

std::string describe(const Trace& t) {
  std::string s;
  for (auto& a : t)
    s += describe(a) + "\n";
  return s;
}

bool Cluster::possible(const Action& a) const {
  switch (a.kind) {
    case Kind::deliver:
    case Kind::lose:
      return a.index < network_.size();
    case Kind::duplicate:
      return a.index < network_.size() && budget.duplicates > 0;
    case Kind::deliver_and_crash:
      return a.index < network_.size() && budget.crashes > 0;
    case Kind::restart:
      return budget.crashes > 0;
    case Kind::wipe:
      return budget.wipes > 0;
    case Kind::disk_back:
      return budget.returns > 0 && nodes_[a.node].lost;
    case Kind::hold_disk:
      return budget.holds > 0 && !nodes_[a.node].held;
    case Kind::sync:
      return nodes_[a.node].held;
    case Kind::cut:
      return budget.cuts > 0 && !cut_;
    case Kind::heal:
      return cut_ != 0;
    case Kind::order:
      return budget.resends > 0 && a.index < orders_.size();
    case Kind::tick:
    case Kind::tick_all:
      return true;
  }
  return false;
}

std::vector<Action> Cluster::enabled() const {
  std::vector<Action> all;
  auto offer = [&](Action a) {
    if (possible(a))
      all.push_back(a);
  };
  std::set<std::pair<Incarnation, size_t>> links;
  for (size_t i = 0; i < network_.size(); ++i)
    if (links.insert({network_[i].envelope->from_incarnation, network_[i].to}).second)
      offer({Kind::deliver, network_[i].to, i, {}});
  if (network_.empty())
    offer({Kind::tick_all, 0, 0, options_.quiet_step});
  if (!network_.empty()) {
    offer({Kind::lose, network_[0].to, 0, {}});
    offer({Kind::duplicate, network_[0].to, 0, {}});
    offer({Kind::deliver_and_crash, network_[0].to, 0, {}});
  }
  for (size_t n = 0; n < nodes_.size(); ++n) {
    offer({Kind::sync, n, 0, {}});
    offer({Kind::restart, n, 0, {}});
    offer({Kind::wipe, n, 0, {}});
    offer({Kind::disk_back, n, 0, {}});
    offer({Kind::cut, n, size_t{1} << n, {}});
    if (nodes_.size() > 3 && n > 0)
      offer({Kind::cut, n, (size_t{1} << n) | 1, {}});
    offer({Kind::hold_disk, n, 0, {}});
    offer({Kind::tick, n, 0, options_.lone_step});
    for (size_t k = 0; k < orders_.size(); ++k)
      offer({Kind::order, n, k, {}});
  }
  offer({Kind::heal, 0, 0, {}});
  return all;
}

void Cluster::apply(const Action& a) {
  carry_out(a);
  drain();
}

void Cluster::carry_out(const Action& a) {
  switch (a.kind) {
    case Kind::deliver:
      return receive(a.node, take(a.index));
    case Kind::duplicate:
      --budget.duplicates;
      return receive(a.node, network_[a.index].envelope);
    case Kind::lose:
      take(a.index);
      return;
    case Kind::deliver_and_crash:
      --budget.crashes;
      nodes_[a.node].held = true;
      receive(a.node, take(a.index));
      return crash(a.node);
    case Kind::tick:
      return tick(a.node, a.ms);
    case Kind::tick_all:
      for (size_t n = 0; n < nodes_.size(); ++n)
        tick(n, a.ms), drain();
      return;
    case Kind::restart:
      --budget.crashes;
      return crash(a.node);
    case Kind::wipe:
      --budget.wipes;
      return wipe(a.node);
    case Kind::disk_back:
      --budget.returns;
      return return_disk(a.node);
    case Kind::hold_disk:
      --budget.holds;
      nodes_[a.node].held = true;
      return;
    case Kind::sync:
      nodes_[a.node].held = false;
      return sync(a.node);
    case Kind::cut:
      --budget.cuts;
      cut_ = a.index;
      std::erase_if(network_, [&](auto& f) {
        auto from = at(f.envelope->from);
        return from && severed(*from, f.to);
      });
      return;
    case Kind::heal:
      cut_ = 0;
      return;
    case Kind::order:
      --budget.resends;
      return submit_to(a.node, a.index);
  }
}

/// The operator's order reaches a controller through its own process.
void Cluster::submit_to(size_t node, size_t order) {
  Envelope e{};
  e.from = "local:operator" + std::to_string(order);
  e.cluster = nodes_[node].view->cluster;
  e.epoch = nodes_[node].view->epoch;
  e.body = Commit{orders_[order].id, orders_[order].change, e.epoch};
  inject(node, std::move(e));
}

}  // namespace mosskeel::model
