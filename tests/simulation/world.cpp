#include "simulation/world.hpp"

#include "net/wire.hpp"
#include "runtime/constants.hpp"
#include "simulation/message_detail.hpp"

namespace mosskeel::sim {
namespace {

/// Only the first failures are kept, since later ones are mostly their consequence.
constexpr size_t kMaxFailures = 20;
/// Number of controllers that are in every daemon's settings as seeds.
constexpr int kSeedCount = 3;
/// Faults choose among zones a, b and c.
constexpr uint64_t kFaultZones = 3;
/// The clocks of two processes may be this far apart.
constexpr Duration kMaxClockOffset = 12h;
/// The rate of a clock is off by up to this many millionths.
constexpr uint64_t kMaxClockDrift = 500;
/// A sync takes one millisecond plus less than this.
constexpr Duration kSyncVariation = 3ms;
/// Upper bound of the extra delay of a message that is late like a retransmission.
constexpr Duration kMaxExtraDelay = 300ms;
/// Resolution of `chance`.
constexpr uint64_t kChanceSteps = 1000000;

Role role_of(Kind kind) {
  switch (kind) {
    case Kind::controller:
      return Role::controller;
    case Kind::store:
      return Role::store;
    case Kind::agent:
    case Kind::gateway:
      return Role::gateway;
  }
  return Role::gateway;
}

/// A name like "store1"; numbers begin with 1.
std::string numbered(const std::string& name, int index) {
  return name + std::to_string(index + 1);
}

}  // namespace

void SimDisk::persist(Batch& batch) {
  for (auto& record : batch.journal)
    synced.push_back(std::move(record));
  if (!batch.checkpoint)
    return;
  checkpoint = std::move(batch.checkpoint);
  synced.clear();
}

World::World(uint64_t seed, FleetSize size)
    : random_(seed), agreement_([this] { return holders(); }, [this](const std::string& what) { fail(what); }) {
  core_size = static_cast<uint32_t>(size.controllers);
  copies = replication_factor_for(static_cast<uint32_t>(size.tolerated), 1);
  auto zone = [&](int index) {
    return std::string(1, static_cast<char>('a' + index % size.zones));
  };
  for (int i = 0; i < size.controllers && i < kSeedCount; ++i)
    seeds.push_back(numbered("controller", i));
  for (int i = 0; i < size.controllers; ++i)
    add(numbered("controller", i), Kind::controller, zone(i));
  for (int i = 0; i < size.stores; ++i)
    add(numbered("store", i), Kind::store, zone(i));
  for (int i = 0; i < size.gateways; ++i) {
    add(numbered("agent", i), Kind::agent, zone(i), numbered("gateway", i));
    add(numbered("gateway", i), Kind::gateway, zone(i), numbered("agent", i));
  }
}

void World::run(Duration time) {
  until(time, [] { return false; });
}

bool World::until(Duration time, const std::function<bool()>& condition) {
  auto end = now() + time;
  while (scheduler_.has_event_until(end)) {
    if (condition())
      return true;
    scheduler_.run_next();
  }
  scheduler_.advance_to(end);
  return condition();
}

TimePoint World::clock(const Node& node) const {
  auto world_age = static_cast<double>((now() - kProcessClockStart).count());
  return kProcessClockStart + node.clock_offset + Duration(static_cast<int64_t>(world_age * node.rate));
}

bool World::chance(double probability) {
  return static_cast<double>(random_() % kChanceSteps) < probability * static_cast<double>(kChanceSteps);
}

std::string World::any_zone() {
  return {static_cast<char>('a' + below(kFaultZones))};
}

Node& World::node(const std::string& name) {
  return *nodes_.at(name);
}

std::vector<std::string> World::names(Kind kind) const {
  std::vector<std::string> found;
  for (const auto& [name, node] : nodes_)
    if (node->kind == kind)
      found.push_back(name);
  return found;
}

std::vector<std::string> World::all_names() const {
  std::vector<std::string> found;
  for (auto kind : kAllKinds)
    for (const auto& name : names(kind))
      found.push_back(name);
  return found;
}

bool World::alive(const std::string& name) {
  return node(name).machine && !node(name).frozen;
}

bool World::ready(const std::string& gateway) {
  auto& node = this->node(gateway);
  return node.machine && static_cast<GatewayMachine&>(*node.machine).ready(clock(node));
}

void World::add(const std::string& name, Kind kind, const std::string& zone, const Address& beside) {
  auto added = std::make_unique<Node>();
  added->name = name;
  added->kind = kind;
  added->beside = beside;
  Incarnation incarnation{random_()};
  auto random_seed = random_();
  added->id = {{incarnation, role_of(kind), zone, name, beside, "http-" + name}, seeds, core_size, random_seed};
  added->id.replication_factor = copies;
  nodes_[name] = std::move(added);
  start(name);
}

void World::start(const std::string& name) {
  auto& node = this->node(name);
  if (node.machine)
    return;
  bool ran_before = node.process_id != 0;
  if (!node.has_disk() && ran_before)
    node.id.self.incarnation = Incarnation{random_()};
  node.id.random_seed = random_();
  node.id.seeds = seeds;
  if (configure)
    configure(node.id);
  node.process_id = ++last_process_id_;
  node.seen = {};
  node.revision = {};
  node.frozen = false;
  node.backlog.clear();
  node.clock_offset = below(kMaxClockOffset);
  auto drift = static_cast<double>(below(2 * kMaxClockDrift + 1)) - static_cast<double>(kMaxClockDrift);
  node.rate = 1 + drift * 1e-6;
  node.machine = make_machine(node);
  at(now() + below(kTickInterval), [this, name, process_id = node.process_id] { tick(name, process_id); });
}

std::unique_ptr<StateMachine> World::make_machine(const Node& node) {
  Recovered recovered{node.id.self.incarnation, node.disk.checkpoint, node.disk.synced};
  auto started = clock(node);
  switch (node.kind) {
    case Kind::controller:
      return std::make_unique<ControllerMachine>(node.id, recovered, started);
    case Kind::store:
      return std::make_unique<StoreMachine>(node.id, recovered, started);
    case Kind::agent:
      return std::make_unique<AgentMachine>(node.id, started);
    case Kind::gateway:
      return std::make_unique<GatewayMachine>(node.id, started);
  }
  return nullptr;
}

void World::end_process(Node& node) {
  node.machine.reset();
  node.disk.waiting.clear();
  node.disk.in_flight = 0;
  node.backlog.clear();
  node.process_id = 0;
  node.frozen = false;
  if (died)
    died(node);
  node.process_id = ++last_process_id_;
}

void World::kill(const std::string& name) {
  auto& node = this->node(name);
  if (!node.machine)
    return;
  auto& waiting = node.disk.waiting;
  auto survivors = waiting.empty() ? 0 : random_() % (waiting.size() + 1);
  for (size_t i = 0; i < survivors; ++i)
    node.disk.persist(waiting[i]);
  end_process(node);
}

void World::stop(const std::string& name) {
  auto& node = this->node(name);
  if (!node.machine)
    return;
  node.disk.in_flight = node.disk.waiting.size();
  finish_sync(node);
  end_process(node);
}

void World::power_off(const std::string& name) {
  if (node(name).machine)
    end_process(node(name));
}

void World::wipe(const std::string& name) {
  auto& node = this->node(name);
  if (node.machine)
    end_process(node);
  node.disk = {};
  node.id.self.incarnation = Incarnation{random_()};
}

void World::wake(const std::string& name) {
  auto& node = this->node(name);
  if (!node.frozen)
    return;
  node.frozen = false;
  auto backlog = std::exchange(node.backlog, {});
  auto process_id = node.process_id;
  for (const auto& envelope : backlog)
    if (node.process_id == process_id && node.machine)
      step(node, envelope);
  if (node.machine)
    finish_sync(node);
}

void World::isolate(const std::string& name) {
  const auto& beside = node(name).beside;
  for (const auto& [other, node] : nodes_) {
    if (other == name || other == beside)
      continue;
    cut(other, name);
    cut(name, other);
  }
}

void World::post(const std::string& name, Envelope envelope) {
  auto& node = this->node(name);
  if (!node.machine)
    return;
  if (node.frozen)
    node.backlog.push_back(std::move(envelope));
  else
    step(node, envelope);
}

void World::fail(const std::string& what) {
  if (failures.size() < kMaxFailures)
    failures.push_back(std::to_string((now() - kProcessClockStart).count()) + " ms: " + what);
}

void World::note(const std::string& text) {
  notes.push_back(std::to_string((now() - kProcessClockStart).count()) + " " + text);
}

void World::step(Node& node, const Envelope& envelope) {
  if (keep_notes)
    note(node.name + " <- " + envelope.from + " " + kind_name(envelope.body) + describe_contents(envelope.body));
  apply_actions(node, node.machine->step(envelope, clock(node)));
}

void World::tick(const std::string& name, uint64_t process_id) {
  auto& node = this->node(name);
  if (node.process_id != process_id || !node.machine)
    return;
  if (!node.frozen)
    apply_actions(node, node.machine->tick(clock(node)));
  check_one_supervisor(node);
  at(now() + kTickInterval, [this, name, process_id] { tick(name, process_id); });
}

/// Executes the actions of a state machine step: messages, writes, the end of the process.
void World::apply_actions(Node& node, Actions actions) {
  if (keep_notes)
    for (const auto& entry : actions.notes)
      note(node.name + " " + std::to_string(static_cast<int>(entry.event)) + " " + entry.text);
  check_metadata(node);
  send_all(node, actions.now);
  write(node, actions);
  if (actions.stop && node.machine)
    end_process(node);
}

/// Messages that wait for a sync are sent at once if nothing is to be synced.
void World::write(Node& node, Actions& actions) {
  bool writes = !actions.journal.empty() || actions.checkpoint;
  if (!node.has_disk() || (node.disk.waiting.empty() && !writes))
    return send_all(node, actions.synced);
  if (!writes && actions.synced.empty())
    return;
  node.disk.waiting.push_back({std::move(actions.journal), std::move(actions.checkpoint), std::move(actions.synced)});
  if (!node.disk.in_flight)
    begin_sync(node);
}

/// Starts a sync of all waiting batches; only one sync is in progress at a time.
void World::begin_sync(Node& node) {
  node.disk.in_flight = node.disk.waiting.size();
  auto end = now() + 1ms + below(kSyncVariation) + node.disk.slow;
  at(end, [this, name = node.name, process_id = node.process_id] {
    auto& node = this->node(name);
    if (node.process_id == process_id && node.machine)
      finish_sync(node);
  });
}

void World::finish_sync(Node& node) {
  if (node.frozen || !node.disk.in_flight)
    return;
  ++syncs;
  std::vector<Envelope> sends;
  for (; node.disk.in_flight; --node.disk.in_flight) {
    auto batch = std::move(node.disk.waiting.front());
    node.disk.waiting.pop_front();
    node.disk.persist(batch);
    for (auto& envelope : batch.sends)
      sends.push_back(std::move(envelope));
  }
  if (!node.disk.waiting.empty())
    begin_sync(node);
  send_all(node, sends);
}

void World::send_all(Node& node, const std::vector<Envelope>& envelopes) {
  for (const auto& envelope : envelopes)
    send(node, envelope);
}

void World::send(Node& node, const Envelope& envelope) {
  if (envelope.to.starts_with("local:"))
    return local ? local(node, envelope) : void();
  if (envelope.to.starts_with("replica:"))
    return replica ? replica(node, envelope) : void();
  ++messages;
  if (sending)
    sending(envelope);
  if (envelope.to == node.id.self.address)
    return at(now(), [this, envelope] { deliver(envelope); });
  if (net.cuts.count({node.name, envelope.to}) || chance(net.loss))
    return;
  int arrivals = chance(net.twice) ? 2 : 1;
  for (int i = 0; i < arrivals; ++i)
    at(now() + network_delay(), [this, envelope] { deliver(envelope); });
}

/// Draws each random number in a separate statement, since the operands of `+` may be evaluated in any order.
Duration World::network_delay() {
  auto delay = 1ms + below(net.delay);
  if (chance(net.twice))
    delay += below(kMaxExtraDelay);
  return delay;
}

void World::deliver(const Envelope& envelope) {
  if (!nodes_.count(envelope.to))
    return;
  if (arriving && alive(envelope.to))
    arriving(envelope);
  post(envelope.to, envelope);
}

bool World::is_supervisor(const Node& node) const {
  bool runs = node.kind == Kind::controller && node.machine && !node.frozen;
  return runs && static_cast<ControllerMachine&>(*node.machine).is_supervisor(clock(node));
}

void World::check_one_supervisor(const Node& node) {
  if (!is_supervisor(node))
    return;
  for (const auto& [name, other] : nodes_)
    if (name != node.name && is_supervisor(*other))
      fail("two supervisors at once: " + node.name + " and " + name);
}

/// Compares a process's metadata with what it and other processes exposed before.
void World::check_metadata(Node& node) {
  auto metadata = node.machine->view();
  if (metadata->epoch == node.seen)
    return;
  if (metadata->epoch < node.seen)
    fail(node.name + " went back from epoch " + std::to_string(node.seen.value()) + " to " +
         std::to_string(metadata->epoch.value()));
  if (metadata->revision < node.revision)
    fail(node.name + " went back from revision " + std::to_string(node.revision.value()));
  node.seen = metadata->epoch;
  node.revision = metadata->revision;
  agreement_.observe(node.name, *metadata);
}

std::vector<MetadataAgreement::Holder> World::holders() const {
  std::vector<MetadataAgreement::Holder> running;
  for (const auto& [name, node] : nodes_)
    if (node->machine)
      running.push_back({name, node->machine->view()});
  return running;
}

MetadataSnapshot latest(World& world) {
  MetadataSnapshot newest;
  for (const auto& name : world.names(Kind::controller)) {
    auto& node = world.node(name);
    if (node.machine && (!newest || node.machine->view()->epoch > newest->epoch))
      newest = node.machine->view();
  }
  return newest;
}

}  // namespace mosskeel::sim
