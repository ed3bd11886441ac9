#include "model/cluster.hpp"

#include <algorithm>

#include "model/bytes.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::model {
namespace {

/// Each start of a process rolls other numbers, the same in each replay.
constexpr uint64_t kFirstRandomSeed = 7;
/// Greater than the number of nodes, so that a link's two ends fit one number.
constexpr uint64_t kLinkFactor = 16;

uint64_t mix(uint64_t hash, uint64_t value) {
  return digest(std::string_view(reinterpret_cast<const char*>(&value), sizeof value), hash);
}

uint64_t clock_value(TimePoint clock) {
  return static_cast<uint64_t>(to_milliseconds(clock));
}

template <class... Types>
bool is_any_of(const Message& message) {
  return (std::holds_alternative<Types>(message) || ...);
}

/// Messages whose order among each other changes nothing as long as they have no effect.
bool commutes(const Message& message) {
  return is_any_of<Heartbeat, HeartbeatReply, Promise, Accepted, QuorumReadReply, LeaseGrant, CatchupReply, Decided>(
      message);
}

/// Only the newest of these matters between two nodes; the older one counts as lost.
bool supersedes(const Message& older, const Message& newer) {
  return older.index() == newer.index() &&
         is_any_of<Heartbeat, HeartbeatReply, LeaseRequest, Catchup, Discover, DiscoverReply>(older);
}

bool is_about_leases(const Message& message) {
  return is_any_of<LeaseRequest, LeaseGrant>(message);
}

/// What an acceptor would say that grants everything; nothing if it is not asked for a promise or vote.
std::optional<Message> grant(const Message& request) {
  if (const auto* prepare = std::get_if<Prepare>(&request))
    return Promise{prepare->epoch, prepare->ballot, true, prepare->ballot, std::nullopt};
  if (const auto* accept = std::get_if<Accept>(&request))
    return Accepted{accept->entry.epoch, accept->ballot, true, accept->ballot};
  return std::nullopt;
}

}  // namespace

size_t Cluster::add(const Address& address, const Addresses& seeds, uint32_t core_size) {
  Node node;
  Incarnation incarnation{next_incarnation_++};
  node.identity = {{incarnation, Role::controller, "z", address, "", "", ""}, seeds, core_size, kFirstRandomSeed};
  node.clock = kProcessClockStart;
  nodes_.push_back(std::move(node));
  start(nodes_.size() - 1);
  return nodes_.size() - 1;
}

/// The node's machine; in a copy of a state it is rebuilt from what it found and what it was given since.
ControllerMachine& Cluster::machine(Node& node) const {
  if (node.running.machine)
    return *node.running.machine;
  node.running.machine = std::make_unique<ControllerMachine>(node.identity, node.found, node.started);
  auto& machine = *node.running.machine;
  std::vector<const Input*> inputs;
  for (const auto* input = node.inputs.get(); input; input = input->before.get())
    inputs.push_back(input);
  std::reverse(inputs.begin(), inputs.end());
  for (const auto* input : inputs) {
    if (input->envelope)
      machine.step(*input->envelope, input->now);
    else
      machine.tick(input->now);
  }
  return machine;
}

std::optional<size_t> Cluster::at(const Address& address) const {
  for (size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].identity.self.address == address)
      return i;
  return std::nullopt;
}

void Cluster::start(size_t node) {
  auto& started = nodes_[node];
  auto incarnation = started.identity.self.incarnation;
  started.found = {incarnation, started.checkpoint, started.journal};
  started.started = started.clock;
  ++started.identity.random_seed;
  started.inputs = nullptr;
  started.unsynced.clear();
  started.unordered = 0;
  started.history = mix(incarnation.value(), digest(started.checkpoint.value_or("")));
  for (const auto& record : started.journal)
    started.history = mix(started.history, digest(record));
  started.running.machine.reset();
  started.view = machine(started).view();
  started.durable = model::durable(machine(started));
  observer_.restarted(incarnation, started.durable);
  observer_.disks(disks());
  look(node);
}

void Cluster::crash(size_t node) {
  nodes_[node].held = false;
  std::erase_if(local_, [&](const LocalMessage& message) { return message.node == node; });
  start(node);
}

void Cluster::wipe(size_t node) {
  auto& wiped = nodes_[node];
  wiped.lost = Disk{wiped.identity.self.incarnation, wiped.checkpoint, wiped.journal};
  wiped.checkpoint.reset();
  wiped.journal.clear();
  wiped.identity.self.incarnation = Incarnation{next_incarnation_++};
  wiped.identity.forbid_founding = true;
  crash(node);
}

void Cluster::return_disk(size_t node) {
  auto& returned = nodes_[node];
  returned.identity.self.incarnation = returned.lost->incarnation;
  returned.checkpoint = returned.lost->checkpoint;
  returned.journal = returned.lost->journal;
  returned.lost.reset();
  crash(node);
}

/// Tells the observer what a node shows.
void Cluster::look(size_t node) {
  observer_.saw(nodes_[node].identity.self.incarnation, nodes_[node].view);
}

std::map<Incarnation, Durable> Cluster::disks() const {
  std::map<Incarnation, Durable> all;
  for (const auto& node : nodes_)
    all[node.identity.self.incarnation] = node.durable;
  return all;
}

void Cluster::receive(size_t node, SharedEnvelope envelope) {
  auto& receiver = nodes_[node];
  auto actions = machine(receiver).step(*envelope, receiver.clock);
  carry_out(node, std::move(actions), envelope);
}

void Cluster::tick(size_t node, Duration time) {
  auto& ticking = nodes_[node];
  ticking.clock += time;
  auto actions = machine(ticking).tick(ticking.clock);
  carry_out(node, std::move(actions), nullptr);
}

/// Adds an input to the node's list and to its hashes.
void Cluster::remember(Node& node, const Actions& actions, const SharedEnvelope& cause, bool moved) {
  node.inputs = std::make_shared<Input>(Input{cause, node.clock, node.inputs});
  auto hash = cause ? hash_of(*cause) : clock_value(node.clock);
  bool is_heartbeat = cause && std::holds_alternative<Heartbeat>(cause->body);
  bool is_silent = actions.journal.empty() && actions.now.empty() && (actions.synced.empty() || is_heartbeat) && !moved;
  if (cause && is_silent && commutes(cause->body)) {
    node.unordered += mix(hash, 1);
    return;
  }
  node.history = mix(mix(node.history, node.unordered), hash);
  node.unordered = 0;
}

void Cluster::carry_out(size_t node, Actions actions, const SharedEnvelope& cause) {
  auto& acting = nodes_[node];
  auto view = acting.running.machine->view();
  bool moved = view->epoch != acting.view->epoch || view->cluster != acting.view->cluster;
  remember(acting, actions, cause, moved);
  acting.view = view;
  look(node);
  plant_fault(actions);
  if (!actions.journal.empty() || !actions.synced.empty() || actions.checkpoint)
    acting.unsynced.push_back({std::move(actions.journal), std::move(actions.checkpoint), std::move(actions.synced)});
  for (auto& envelope : actions.now)
    send(node, std::move(envelope));
  if (!nodes_[node].held)
    sync(node);
}

void Cluster::plant_fault(Actions& actions) const {
  if (options_.fault == Fault::sends_before_sync) {
    actions.now.insert(actions.now.end(), actions.synced.begin(), actions.synced.end());
    actions.synced.clear();
  }
  if (options_.fault == Fault::votes_forgotten)
    std::erase_if(actions.journal, is_vote);
}

/// Syncs all that waits and lets go what waited for it.
void Cluster::sync(size_t node) {
  auto batches = std::exchange(nodes_[node].unsynced, {});
  if (batches.empty())
    return;
  auto& synced = nodes_[node];
  std::vector<Envelope> sends;
  bool changed = false;
  for (auto& batch : batches) {
    changed = changed || !batch.journal.empty() || batch.checkpoint;
    for (auto& record : batch.journal)
      synced.journal.push_back(std::move(record));
    if (batch.checkpoint) {
      synced.checkpoint = std::move(batch.checkpoint);
      synced.journal.clear();
    }
    for (auto& envelope : batch.sends)
      sends.push_back(std::move(envelope));
  }
  if (changed) {
    Recovered recovered{synced.identity.self.incarnation, synced.checkpoint, synced.journal};
    synced.durable = model::durable(ControllerMachine(synced.identity, recovered, synced.clock));
    observer_.disks(disks());
  }
  for (auto& envelope : sends)
    send(node, std::move(envelope));
}

/// With the planted fault, a member that is cut off grants whatever it is asked.
bool Cluster::forged(size_t node, const Envelope& envelope) {
  auto to = at(envelope.to);
  if (options_.fault != Fault::votes_of_absent || !to || !severed(node, *to))
    return false;
  auto granted = grant(envelope.body);
  if (!granted)
    return false;
  Envelope answer{};
  answer.cluster = envelope.cluster;
  answer.epoch = envelope.epoch;
  answer.from = envelope.to;
  answer.from_incarnation = envelope.to_incarnation;
  answer.to = envelope.from;
  answer.to_incarnation = envelope.from_incarnation;
  answer.body = std::move(*granted);
  auto hash = hash_of(answer);
  network_.push_back({std::make_shared<Envelope>(std::move(answer)), node, hash});
  return true;
}

void Cluster::answer_operator(const CommitReply& reply) {
  for (const auto& order : orders_)
    if (order.id == reply.id)
      observer_.answered(order.change, reply);
}

void Cluster::send(size_t node, Envelope envelope) {
  if (forged(node, envelope))
    return;
  const auto* reply = std::get_if<CommitReply>(&envelope.body);
  if (reply && envelope.to.starts_with("local:"))
    return answer_operator(*reply);
  auto to = at(envelope.to);
  if (!to || (!options_.leases && is_about_leases(envelope.body)))
    return;
  if (options_.watch_restarts)
    observer_.sent(envelope);
  if (to == node)
    local_.push_back({node, std::make_shared<Envelope>(std::move(envelope))});
  else if (!severed(node, *to))
    transmit(std::move(envelope), *to);
}

void Cluster::transmit(Envelope envelope, size_t to) {
  if (options_.fault == Fault::clusters_not_compared)
    envelope.cluster = nodes_[to].view->cluster;
  std::erase_if(network_, [&](const Flying& flying) {
    return flying.to == to && flying.envelope->from_incarnation == envelope.from_incarnation &&
           supersedes(flying.envelope->body, envelope.body);
  });
  auto hash = hash_of(envelope);
  network_.push_back({std::make_shared<Envelope>(std::move(envelope)), to, hash});
}

void Cluster::inject(size_t node, Envelope envelope) {
  envelope.to = nodes_[node].identity.self.address;
  receive(node, std::make_shared<Envelope>(std::move(envelope)));
  drain();
}

void Cluster::drain() {
  while (!local_.empty()) {
    auto message = std::move(local_.front());
    local_.pop_front();
    receive(message.node, message.envelope);
  }
}

Cluster::SharedEnvelope Cluster::take(size_t index) {
  auto envelope = network_[index].envelope;
  network_.erase(network_.begin() + static_cast<ptrdiff_t>(index));
  return envelope;
}

uint64_t Cluster::fingerprint() const {
  uint64_t hash = cut_;
  for (const auto& node : nodes_) {
    hash = mix(mix(hash, node.history), node.unordered);
    hash = mix(mix(hash, clock_value(node.clock)), node.held ? node.unsynced.size() + 1 : 0);
  }
  std::map<Link, uint64_t> links;
  for (const auto& flying : network_) {
    auto& link = links[{flying.envelope->from_incarnation, flying.to}];
    link = mix(link, flying.hash);
  }
  for (const auto& [link, messages] : links)
    hash = mix(hash, mix(messages, link.from.value() * kLinkFactor + link.to));
  for (int left :
       {budget.crashes, budget.wipes, budget.returns, budget.cuts, budget.holds, budget.resends, budget.duplicates})
    hash = mix(hash, static_cast<uint64_t>(left));
  return hash;
}

}  // namespace mosskeel::model
