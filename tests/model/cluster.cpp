#include "model/cluster.hpp"

#include <algorithm>

#include "model/bytes.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::model {
namespace {

constexpr uint64_t first_dice = 7;  // each start of a process rolls other numbers, the same in each replay

uint64_t mix(uint64_t a, uint64_t b) {
  return digest(std::string_view(reinterpret_cast<const char*>(&b), sizeof b), a);
}

/// Messages whose order among each other changes nothing as long as they have no effect.
bool commutes(const Message& m) {
  return std::holds_alternative<Heartbeat>(m) || std::holds_alternative<HeartbeatReply>(m) ||
         std::holds_alternative<Promise>(m) || std::holds_alternative<Accepted>(m) ||
         std::holds_alternative<QuorumReadReply>(m) || std::holds_alternative<LeaseGrant>(m) ||
         std::holds_alternative<CatchupReply>(m) || std::holds_alternative<Decided>(m);
}

/// Only the newest of these matters between two nodes; the older one counts as lost.
bool supersedes(const Message& a, const Message& b) {
  return a.index() == b.index() && (std::holds_alternative<Heartbeat>(a) || std::holds_alternative<HeartbeatReply>(a) ||
                                    std::holds_alternative<LeaseRequest>(a) || std::holds_alternative<Catchup>(a) ||
                                    std::holds_alternative<Discover>(a) || std::holds_alternative<DiscoverReply>(a));
}

bool about_leases(const Message& m) {
  return std::holds_alternative<LeaseRequest>(m) || std::holds_alternative<LeaseGrant>(m);
}

}  // namespace

size_t Cluster::add(const Address& address, const Addresses& seeds, uint32_t core_size) {
  Node n;
  n.identity = {
      {Incarnation{next_incarnation_++}, Role::controller, "z", address, "", "", ""}, seeds, core_size, first_dice};
  n.clock = kProcessClockStart;
  nodes_.push_back(std::move(n));
  start(nodes_.size() - 1);
  return nodes_.size() - 1;
}

ControllerMachine& Cluster::machine(Node& n) const {
  if (n.running.machine)
    return *n.running.machine;
  n.running.machine = std::make_unique<ControllerMachine>(n.identity, n.found, n.started);
  std::vector<const Input*> inputs;
  for (auto* i = n.inputs.get(); i; i = i->before.get())
    inputs.push_back(i);
  for (auto i = inputs.rbegin(); i != inputs.rend(); ++i) {
    if ((*i)->envelope)
      n.running.machine->step(*(*i)->envelope, (*i)->now);
    else
      n.running.machine->tick((*i)->now);
  }
  return *n.running.machine;
}

std::optional<size_t> Cluster::at(const Address& a) const {
  for (size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].identity.self.address == a)
      return i;
  return std::nullopt;
}

void Cluster::start(size_t node) {
  auto& n = nodes_[node];
  n.found = {n.identity.self.incarnation, n.checkpoint, n.journal};
  n.started = n.clock;
  ++n.identity.random_seed;
  n.inputs = nullptr;
  n.unsynced.clear();
  n.unordered = 0;
  n.history = mix(n.identity.self.incarnation.value(), digest(n.checkpoint.value_or("")));
  for (auto& record : n.journal)
    n.history = mix(n.history, digest(record));
  n.running.machine.reset();
  n.view = machine(n).view();
  n.durable = model::durable(machine(n));
  observer_.restarted(n.identity.self.incarnation, n.durable);
  observer_.disks(disks());
  look(node);
}

void Cluster::crash(size_t node) {
  nodes_[node].held = false;
  std::erase_if(local_, [&](auto& x) { return x.first == node; });
  start(node);
}

void Cluster::wipe(size_t node) {
  auto& n = nodes_[node];
  n.lost = Disk{n.identity.self.incarnation, n.checkpoint, n.journal};
  n.checkpoint.reset();
  n.journal.clear();
  n.identity.self.incarnation = Incarnation{next_incarnation_++};
  n.identity.later_start = true;
  crash(node);
}

void Cluster::return_disk(size_t node) {
  auto& n = nodes_[node];
  n.identity.self.incarnation = n.lost->incarnation;
  n.checkpoint = n.lost->checkpoint;
  n.journal = n.lost->journal;
  n.lost.reset();
  crash(node);
}

/// Tells the observer what a node shows and what all disks hold.
void Cluster::look(size_t node) {
  observer_.saw(nodes_[node].identity.self.incarnation, nodes_[node].view);
}

std::map<Incarnation, Durable> Cluster::disks() const {
  std::map<Incarnation, Durable> all;
  for (auto& n : nodes_)
    all[n.identity.self.incarnation] = n.durable;
  return all;
}

void Cluster::receive(size_t node, std::shared_ptr<const Envelope> e) {
  auto& n = nodes_[node];
  auto actions = machine(n).step(*e, n.clock);
  carry_out(node, std::move(actions), e);
}

void Cluster::tick(size_t node, Duration ms) {
  auto& n = nodes_[node];
  n.clock += ms;
  auto actions = machine(n).tick(n.clock);
  carry_out(node, std::move(actions), nullptr);
}

void Cluster::remember(Node& n, const Actions& a, const std::shared_ptr<const Envelope>& cause, bool moved) {
  n.inputs = std::make_shared<Input>(Input{cause, n.clock, n.inputs});
  auto hash = cause ? hash_of(*cause) : static_cast<uint64_t>(to_milliseconds(n.clock));
  bool heartbeat = cause && std::holds_alternative<Heartbeat>(cause->body);
  bool silent = a.journal.empty() && a.now.empty() && (a.synced.empty() || heartbeat) && !moved;
  if (cause && silent && commutes(cause->body)) {
    n.unordered += mix(hash, 1);
    return;
  }
  n.history = mix(mix(n.history, n.unordered), hash);
  n.unordered = 0;
}

void Cluster::carry_out(size_t node, Actions a, const std::shared_ptr<const Envelope>& cause) {
  auto& n = nodes_[node];
  auto view = n.running.machine->view();
  bool moved = view->epoch != n.view->epoch || view->cluster != n.view->cluster;
  remember(n, a, cause, moved);
  n.view = view;
  look(node);
  std::vector<Envelope> at_once = std::move(a.now);
  if (options_.fault == Fault::sends_before_sync) {
    at_once.insert(at_once.end(), a.synced.begin(), a.synced.end());
    a.synced.clear();
  }
  if (options_.fault == Fault::votes_forgotten)
    std::erase_if(a.journal, is_vote);
  if (!a.journal.empty() || !a.synced.empty() || a.checkpoint)
    n.unsynced.push_back({std::move(a.journal), std::move(a.checkpoint), std::move(a.synced)});
  for (auto& e : at_once)
    send(node, std::move(e));
  if (!nodes_[node].held)
    sync(node);
}

/// Syncs all that waits and lets go what waited for it.
void Cluster::sync(size_t node) {
  auto batches = std::exchange(nodes_[node].unsynced, {});
  if (batches.empty())
    return;
  auto& n = nodes_[node];
  std::vector<Envelope> sends;
  bool changed = false;
  for (auto& b : batches) {
    changed = changed || !b.journal.empty() || b.checkpoint;
    for (auto& s : b.journal)
      n.journal.push_back(std::move(s));
    if (b.checkpoint)
      n.checkpoint = std::move(b.checkpoint), n.journal.clear();
    for (auto& e : b.sends)
      sends.push_back(std::move(e));
  }
  if (changed) {
    n.durable =
        model::durable(ControllerMachine(n.identity, {n.identity.self.incarnation, n.checkpoint, n.journal}, n.clock));
    observer_.disks(disks());
  }
  for (auto& e : sends)
    send(node, std::move(e));
}

/// With the planted fault, a member that is cut off grants whatever it is asked.
bool Cluster::forged(size_t node, const Envelope& e) {
  auto to = at(e.to);
  if (options_.fault != Fault::votes_of_absent || !to || !severed(node, *to))
    return false;
  Envelope answer{};
  answer.cluster = e.cluster;
  answer.epoch = e.epoch;
  answer.from = e.to;
  answer.from_incarnation = e.to_incarnation;
  answer.to = e.from;
  answer.to_incarnation = e.from_incarnation;
  if (auto* p = std::get_if<Prepare>(&e.body))
    answer.body = Promise{p->epoch, p->ballot, true, p->ballot, std::nullopt};
  else if (auto* a = std::get_if<Accept>(&e.body))
    answer.body = Accepted{a->entry.epoch, a->ballot, true, a->ballot};
  else
    return false;
  network_.push_back({std::make_shared<Envelope>(answer), node, hash_of(answer)});
  return true;
}

void Cluster::send(size_t node, Envelope e) {
  if (forged(node, e))
    return;
  if (auto* r = std::get_if<CommitReply>(&e.body); r && e.to.starts_with("local:")) {
    for (auto& o : orders_)
      if (o.id == r->id)
        observer_.answered(o.change, *r);
    return;
  }
  auto to = at(e.to);
  if (!to || (!options_.leases && about_leases(e.body)))
    return;
  if (options_.watch_restarts)
    observer_.sent(e);
  if (to == node)
    return local_.emplace_back(node, std::make_shared<Envelope>(std::move(e))), void();
  if (severed(node, *to))
    return;
  if (options_.fault == Fault::clusters_not_compared)
    e.cluster = nodes_[*to].view->cluster;
  std::erase_if(network_, [&](auto& f) {
    return f.to == *to && f.envelope->from_incarnation == e.from_incarnation && supersedes(f.envelope->body, e.body);
  });
  auto hash = hash_of(e);
  network_.push_back({std::make_shared<Envelope>(std::move(e)), *to, hash});
}

void Cluster::inject(size_t node, Envelope e) {
  e.to = nodes_[node].identity.self.address;
  receive(node, std::make_shared<Envelope>(std::move(e)));
  drain();
}

void Cluster::drain() {
  while (!local_.empty()) {
    auto [node, e] = std::move(local_.front());
    local_.pop_front();
    receive(node, e);
  }
}

std::shared_ptr<const Envelope> Cluster::take(size_t index) {
  auto e = network_[index].envelope;
  network_.erase(network_.begin() + static_cast<ptrdiff_t>(index));
  return e;
}

uint64_t Cluster::fingerprint() const {
  uint64_t h = cut_;
  for (auto& n : nodes_) {
    h = mix(mix(h, n.history), n.unordered);
    h = mix(mix(h, static_cast<uint64_t>(to_milliseconds(n.clock))), n.held ? n.unsynced.size() + 1 : 0);
  }
  std::map<std::pair<Incarnation, size_t>, uint64_t> links;
  for (auto& f : network_) {
    auto& link = links[{f.envelope->from_incarnation, f.to}];
    link = mix(link, f.hash);
  }
  for (auto& [link, hash] : links)
    h = mix(h, mix(hash, link.first.value() * 16 + link.second));
  for (int x :
       {budget.crashes, budget.wipes, budget.returns, budget.cuts, budget.holds, budget.resends, budget.duplicates})
    h = mix(h, static_cast<uint64_t>(x));
  return h;
}

}  // namespace mosskeel::model
