#include "simulation/world.hpp"

#include "net/wire.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::sim {

World::World(uint64_t seed, Size z) : dice_(seed) {
  core_size = static_cast<uint32_t>(z.controllers);
  copies = replication_factor_for(static_cast<uint32_t>(z.tolerated), 1);
  auto zone = [&](int i) {
    return std::string(1, static_cast<char>('a' + i % z.zones));
  };
  for (int i = 0; i < z.controllers && i < 3; ++i)
    seeds.push_back("controller" + std::to_string(i + 1));
  for (int i = 0; i < z.controllers; ++i)
    add("controller" + std::to_string(i + 1), Kind::controller, zone(i));
  for (int i = 0; i < z.stores; ++i)
    add("store" + std::to_string(i + 1), Kind::store, zone(i));
  for (int i = 0; i < z.fronts; ++i) {
    auto k = std::to_string(i + 1);
    add("agent" + k, Kind::agent, zone(i), "gateway" + k);
    add("gateway" + k, Kind::gateway, zone(i), "agent" + k);
  }
}

void World::add(const std::string& name, Kind k, const std::string& zone, const Address& beside) {
  auto n = std::make_unique<Node>();
  n->name = name;
  n->kind = k;
  n->beside = beside;
  auto role = k == Kind::controller ? Role::controller : k == Kind::store ? Role::store : Role::front;
  n->id = {{Incarnation{dice_()}, role, zone, name, beside, "http-" + name}, seeds, core_size, dice_()};
  n->id.replication_factor = copies;
  by_addr_[name] = name;
  nodes_[name] = std::move(n);
  start(name);
}

Node& World::node(const std::string& name) {
  return *nodes_.at(name);
}

std::vector<std::string> World::names(Kind k) const {
  std::vector<std::string> v;
  for (auto& [s, n] : nodes_)
    if (n->kind == k)
      v.push_back(s);
  return v;
}

bool World::alive(const std::string& name) {
  return node(name).machine && !node(name).frozen;
}

void World::fail(const std::string& what) {
  if (failures.size() < 20)
    failures.push_back(std::to_string((now_ - kProcessClockStart).count()) + " ms: " + what);
}

void World::start(const std::string& name) {
  auto& n = node(name);
  if (n.machine)
    return;
  bool diskless = n.kind == Kind::agent || n.kind == Kind::gateway;
  if (diskless && n.life)
    n.id.self.incarnation = Incarnation{dice_()};
  n.id.random_seed = dice_();
  n.id.seeds = seeds;
  if (configure)
    configure(n.id);
  n.life = ++seq_;
  n.seen = {};
  n.revision = {};
  n.frozen = n.stopped = false;
  n.backlog.clear();
  n.skew = below(Duration(12h));
  n.rate = 1 + (static_cast<double>(below(uint64_t{1001})) - 500) * 1e-6;
  auto now = clock(n);
  Recovered r{n.id.self.incarnation, n.disk.checkpoint, n.disk.synced};
  switch (n.kind) {
    case Kind::controller:
      n.machine = std::make_unique<ControllerMachine>(n.id, r, now);
      break;
    case Kind::store:
      n.machine = std::make_unique<StoreMachine>(n.id, r, now);
      break;
    case Kind::agent:
      n.machine = std::make_unique<AgentMachine>(n.id, now);
      break;
    case Kind::gateway:
      n.machine = std::make_unique<GatewayMachine>(n.id, now);
      break;
  }
  at(now_ + below(kTickInterval), [this, name, life = n.life] { tick(name, life); });
}

void World::die(Node& n) {
  n.machine.reset();
  n.disk.waiting.clear();
  n.disk.in_flight = 0;
  n.backlog.clear();
  n.life = 0;
  n.frozen = false;
  if (died)
    died(n);
  n.life = ++seq_;
}

void World::kill(const std::string& name) {
  auto& n = node(name);
  if (!n.machine)
    return;
  auto keep = n.disk.waiting.empty() ? 0 : dice_() % (n.disk.waiting.size() + 1);
  for (size_t i = 0; i < keep; ++i) {
    auto& b = n.disk.waiting[i];
    for (auto& s : b.journal)
      n.disk.synced.push_back(s);
    if (b.checkpoint)
      n.disk.checkpoint = b.checkpoint, n.disk.synced.clear();
  }
  die(n);
}

void World::stop(const std::string& name) {
  auto& n = node(name);
  if (!n.machine)
    return;
  n.disk.in_flight = n.disk.waiting.size();
  flush(n);
  die(n);
}

void World::power_off(const std::string& name) {
  if (node(name).machine)
    die(node(name));
}

void World::wipe(const std::string& name) {
  auto& n = node(name);
  if (n.machine)
    die(n);
  n.disk = {};
  n.id.self.incarnation = Incarnation{dice_()};
}

void World::wake(const std::string& name) {
  auto& n = node(name);
  if (!n.frozen)
    return;
  n.frozen = false;
  auto v = std::exchange(n.backlog, {});
  auto life = n.life;
  for (auto& e : v)
    if (n.life == life && n.machine)
      step(n, e);
  if (n.machine)
    flush(n);
}

void World::cut(const std::string& a, const std::string& b) {
  net.cuts.insert({a, b});
}

void World::isolate(const std::string& name) {
  auto& n = node(name);
  for (auto& [s, x] : nodes_)
    if (s != name && s != n.beside)
      cut(s, name), cut(name, s);
}

TimePoint World::clock(const Node& n) const {
  auto world_age = static_cast<double>((now_ - kProcessClockStart).count());
  return kProcessClockStart + n.skew + Duration(static_cast<int64_t>(world_age * n.rate));
}

bool World::ready(const std::string& front) {
  auto& n = node(front);
  return n.machine && static_cast<GatewayMachine&>(*n.machine).ready(clock(n));
}

void World::at(TimePoint when, std::function<void()> f) {
  items_.push({when, ++seq_, std::move(f)});
}

void World::run(Duration ms) {
  until(ms, [] { return false; });
}

bool World::until(Duration ms, const std::function<bool()>& ok) {
  auto end = now_ + ms;
  while (!items_.empty() && items_.top().when <= end) {
    if (ok())
      return true;
    auto f = items_.top().f;
    now_ = std::max(now_, items_.top().when);
    items_.pop();
    f();
  }
  now_ = end;
  return ok();
}

void World::tick(const std::string& name, uint64_t life) {
  auto& n = node(name);
  if (n.life != life || !n.machine)
    return;
  if (!n.frozen)
    act(n, n.machine->tick(clock(n)));
  if (!n.frozen && n.machine && n.kind == Kind::controller &&
      static_cast<ControllerMachine&>(*n.machine).is_supervisor(clock(n)))
    for (auto& [s, x] : nodes_)
      if (s != name && x->machine && !x->frozen && x->kind == Kind::controller &&
          static_cast<ControllerMachine&>(*x->machine).is_supervisor(clock(*x)))
        fail("two supervisors at once: " + name + " and " + s);
  at(now_ + kTickInterval, [this, name, life] { tick(name, life); });
}

void World::post(const std::string& name, Envelope e) {
  auto& n = node(name);
  if (!n.machine)
    return;
  if (n.frozen)
    n.backlog.push_back(std::move(e));
  else
    step(n, e);
}

void World::step(Node& n, const Envelope& e) {
  if (keep_notes)
    notes.push_back(std::to_string((now_ - kProcessClockStart).count()) + " " + n.name + " <- " + e.from + " " +
                    kind_name(e.body) + detail(e.body));
  act(n, n.machine->step(e, clock(n)));
}

void World::act(Node& n, Actions a) {
  if (keep_notes)
    for (auto& x : a.notes)
      notes.push_back(std::to_string((now_ - kProcessClockStart).count()) + " " + n.name + " " +
                      std::to_string(static_cast<int>(x.event)) + " " + x.text);
  look(n);
  for (auto& e : a.now)
    send(n, e);
  bool diskless = n.kind == Kind::agent || n.kind == Kind::gateway;
  if (diskless) {
    for (auto& e : a.synced)
      send(n, e);
  } else if (!a.journal.empty() || !a.synced.empty() || a.checkpoint) {
    bool idle = n.disk.waiting.empty() && a.journal.empty() && !a.checkpoint;
    if (idle) {
      for (auto& e : a.synced)
        send(n, e);
    } else {
      n.disk.waiting.push_back({std::move(a.journal), std::move(a.checkpoint), std::move(a.synced)});
      if (!n.disk.in_flight)
        begin_sync(n);
    }
  }
  if (a.stop && n.machine)
    n.stopped = true, die(n);
}

/// One sync at a time; it covers all that waits when it begins.
void World::begin_sync(Node& n) {
  n.disk.in_flight = n.disk.waiting.size();
  at(now_ + 1ms + below(3ms) + n.disk.slow, [this, name = n.name, life = n.life] {
    auto& n = node(name);
    if (n.life == life && n.machine)
      flush(n);
  });
}

void World::flush(Node& n) {
  if (n.frozen || !n.disk.in_flight)
    return;
  ++syncs;
  std::vector<Envelope> sends;
  for (; n.disk.in_flight; --n.disk.in_flight) {
    auto b = std::move(n.disk.waiting.front());
    n.disk.waiting.pop_front();
    for (auto& s : b.journal)
      n.disk.synced.push_back(std::move(s));
    if (b.checkpoint)
      n.disk.checkpoint = std::move(b.checkpoint), n.disk.synced.clear();
    for (auto& e : b.sends)
      sends.push_back(std::move(e));
  }
  if (!n.disk.waiting.empty())
    begin_sync(n);
  for (auto& e : sends)
    send(n, e);
}

void World::send(Node& n, const Envelope& e) {
  if (e.to.starts_with("local:"))
    return local ? local(n, e) : void();
  if (e.to.starts_with("replica:"))
    return replica ? replica(n, e) : void();
  ++messages;
  if (e.to != n.id.self.address) {
    if (net.cuts.count({n.name, e.to}) || chance(net.loss))
      return;
  }
  int copies = e.to != n.id.self.address && chance(net.twice) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Duration delay{};
    if (e.to != n.id.self.address) {
      // The draws stand in statements of their own: the operands of `+` may be evaluated in any order.
      delay = 1ms + below(net.delay);
      if (chance(net.twice))
        delay += below(300ms);
    }
    at(now_ + delay, [this, e] { deliver(e.to, e); });
  }
}

void World::deliver(const Address& to, const Envelope& e) {
  auto i = by_addr_.find(to);
  if (i == by_addr_.end())
    return;
  if (arriving && alive(i->second))
    arriving(e);
  post(i->second, e);
}

}  // namespace mosskeel::sim
