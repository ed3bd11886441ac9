// Hollow fronts: the agent's own machine on the real transport, and instead of a gateway its heartbeat alone.
#include <time.h>

#include <atomic>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>

#include "base/queue.hpp"
#include "net/transport.hpp"
#include "programs/constants.hpp"
#include "replication/agent_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/host.hpp"
#include "scale/fleet.hpp"

namespace mosskeel::scale {
namespace {

struct Hollow {
  Address at, shadow;
  std::string zone;
  std::unique_ptr<AgentMachine> machine;
  Candidate self;
  uint64_t life = 0;
  Epoch seen{};
  /// When each epoch was first known here, in the machine's clock.
  std::map<Epoch, Millis> known;
  Millis next_tick = 0, next_beat = 0;
  std::unique_ptr<Transport> post;
};

class Hollows {
 public:
  Hollows(const FleetAsk& a, int first) {
    auto p = a.plan;
    for (int i = 0; i < 3; ++i)
      seeds_.push_back(local_port(a, 2 * i));
    for (int i = first; i < std::min(first + a.many, p.daemons); ++i) {
      auto h = std::make_unique<Hollow>();
      h->at = local_port(a, hollow_ports + i);
      h->shadow = local_port(a, shadow_ports + i);
      h->zone = std::string(1, static_cast<char>('a' + i % p.zones));
      v_.push_back(std::move(h));
    }
  }
  Errors open() {
    for (size_t i = 0; i < v_.size(); ++i) {
      auto p = Transport::open(v_[i]->at, [this, i](Envelope e, size_t) { in_.push({i, std::move(e)}); });
      if (!p.ok())
        return p.errors();
      v_[i]->post = std::move(p).value();
    }
    return {};
  }
  void run() {
    Millis next = 0;
    while (!stop_) {
      auto now = process_now();
      if (now >= next) {
        next = now + kTickInterval;
        for (size_t i = 0; i < v_.size(); ++i)
          tick(i, now);
      }
      for (auto& x : in_.take(std::max<Millis>(1, next - process_now()))) {
        if (x.second.from.empty())
          command(x.second.to);
        else if (v_[x.first]->machine && !cut(x.second.from))
          act(x.first, v_[x.first]->machine->step(x.second, process_now()));
      }
    }
  }
  void say(const std::string& line) {
    Envelope e{};
    e.to = line;
    in_.push({0, std::move(e)});
  }
  void stop() { stop_ = true; }

 private:
  bool cut(const Address& a) const { return cut_.count(a) > 0; }
  void start(size_t i) {
    auto& h = *v_[i];
    if (h.machine)
      return;
    Identity id{{Incarnation{dice_()}, Role::front, h.zone, h.at, h.shadow, ""}, seeds_, 0, dice_()};
    h.self = {Incarnation{dice_()}, Role::front, h.zone, h.shadow, h.at, h.shadow, "hollow-" + std::to_string(i)};
    h.machine = std::make_unique<AgentMachine>(id, process_now());
    h.seen = {};
    h.known.clear();
  }
  void tick(size_t i, Millis now) {
    auto& h = *v_[i];
    if (!h.machine)
      return;
    if (now >= h.next_beat) {
      h.next_beat = now + kAgentHeartbeatInterval;
      auto v = h.machine->view();
      Envelope e{};
      e.cluster = v->cluster;
      e.epoch = v->epoch;
      e.from = h.shadow;
      e.from_inc = h.self.incarnation;
      e.to = h.at;
      e.body = Heartbeat{h.self, v->epoch, 0, {}, 0, now, false, 0};
      act(i, h.machine->step(e, now));
    }
    act(i, h.machine->tick(now));
  }
  void act(size_t i, Actions a) {
    auto& h = *v_[i];
    auto v = h.machine->view();
    if (v->epoch < h.seen)
      ++broken_;
    if (v->epoch != h.seen)
      h.known[h.seen = v->epoch] = machine_now();
    if (h.known.size() > kLogEntriesKept)
      h.known.erase(h.known.begin());
    for (auto* x : {&a.now, &a.synced})
      for (auto& e : *x)
        if (e.to != h.shadow && !cut(e.to))
          h.post->send(e);
  }
  void command(const std::string& line) {
    std::istringstream s(line);
    std::string w;
    s >> w;
    std::ostringstream o;
    if (w == "start" || w == "stop") {
      for (size_t i; s >> i;)
        if (i < v_.size())
          w == "start" ? start(i) : v_[i]->machine.reset();
      o << "ok";
    } else if (w == "cut") {
      cut_.clear();
      for (Address x; s >> x;)
        cut_.insert(x);
      o << "ok";
    } else if (w == "known") {
      uint64_t e = 0;
      s >> e;
      for (auto& h : v_) {
        if (!h->machine)
          continue;
        auto k = h->known.lower_bound(Epoch{e});
        o << (k == h->known.end() ? -1 : k->second) << " ";
      }
    } else if (w == "values") {
      for (auto& h : v_)
        if (h->machine)
          o << h->seen.value() << ":" << fingerprint(*h->machine->view()) << " ";
    } else if (w == "state") {
      uint64_t sent = 0, dropped = 0;
      for (auto& h : v_)
        sent += h->post->sent(), dropped += h->post->dropped();
      o << sent << " " << dropped << " " << broken_;
    }
    printf("%s\n", o.str().c_str());
    fflush(stdout);
  }
  Addresses seeds_;
  std::vector<std::unique_ptr<Hollow>> v_;
  Queue<std::pair<size_t, Envelope>> in_;
  std::set<Address> cut_;
  std::mt19937_64 dice_{std::random_device{}()};
  std::atomic<bool> stop_{false};
  uint64_t broken_ = 0;
};

}  // namespace

Millis machine_now() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<Millis>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

std::string fingerprint(const Metadata& m) {
  return hex(digest(codec::pack(m)));
}

int be_hollow(const FleetAsk& a, int first) {
  Hollows h(a, first);
  if (auto f = h.open(); !f.empty())
    return fprintf(stderr, "hollow: %s\n", to_string(f).c_str()), 2;
  std::thread t([&] { h.run(); });
  for (std::string line; std::getline(std::cin, line) && line != "quit";)
    h.say(line);
  h.stop();
  t.join();
  return 0;
}

}  // namespace mosskeel::scale
