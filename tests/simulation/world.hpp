#pragma once
// A seeded world of real machines on simulated clocks, disks and wires.
#include <queue>

#include "consensus/controller_machine.hpp"
#include "history/store_machine.hpp"
#include "metadata/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "replication/agent_machine.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::sim {

enum class Kind { controller, store, agent, gateway };

struct SimDisk {
  std::optional<std::string> checkpoint;
  std::vector<std::string> synced;
  struct Batch {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    std::vector<Envelope> sends;
  };
  std::deque<Batch> waiting;
  size_t in_flight = 0;
  Duration slow{};
};

struct Node {
  std::string name;
  Kind kind;
  Identity id;
  Address beside;
  std::unique_ptr<StateMachine> machine;
  SimDisk disk;
  bool frozen = false, stopped = false;
  uint64_t life = 0;
  std::deque<Envelope> backlog;
  Epoch seen{};
  Revision revision{};
  /// This process's clock: another start than anybody's, and a rate of its own.
  Duration skew{};
  double rate = 1;
};

/// What a replay prints of messages about histories.
std::string detail(const Message& m);

struct Net {
  Duration delay = 2ms;
  double loss = 0, twice = 0;
  std::set<std::pair<Address, Address>> cuts;
};

/// How many machines of each role; `tolerated` is how many of those with a disk may be lost at once.
struct Size {
  int controllers = 3, stores = 3, fronts = 3, models = 4, zones = 3, apps = 3, tolerated = 1;
};

class World {
 public:
  World(uint64_t seed, Size size);
  void run(Duration ms);
  /// True as soon as the condition holds, false if it does not within the time.
  bool until(Duration ms, const std::function<bool()>& ok);
  void at(TimePoint when, std::function<void()> f);
  TimePoint now() const { return now_; }
  /// What the clock of one process shows now; no two agree.
  TimePoint clock(const Node& n) const;
  bool ready(const std::string& front);
  uint64_t next_random() { return dice_(); }
  Duration below(Duration limit) { return Duration(dice_() % static_cast<uint64_t>(limit.count())); }
  uint64_t below(uint64_t limit) { return dice_() % limit; }
  bool chance(double p) { return static_cast<double>(dice_() % 1000000) < p * 1e6; }

  Node& node(const std::string& name);
  std::vector<std::string> names(Kind k) const;
  bool alive(const std::string& name);
  void start(const std::string& name);
  /// The process dies; what was written but not synced survives in part.
  void kill(const std::string& name);
  /// The process ends in order: what it wrote is synced before it goes.
  void stop(const std::string& name);
  /// Power is lost; nothing unsynced survives.
  void power_off(const std::string& name);
  void wipe(const std::string& name);
  void freeze(const std::string& name) { node(name).frozen = true; }
  void wake(const std::string& name);
  /// Cuts what `a` says to `b`.
  void cut(const std::string& a, const std::string& b);
  void isolate(const std::string& name);
  void heal() { net.cuts.clear(); }
  /// Puts a message from inside a front's or controller's own process before its machine.
  void post(const std::string& name, Envelope e);
  /// Adds a machine under a new address.
  void add(const std::string& name, Kind k, const std::string& zone, const Address& beside = "");
  Addresses seeds;
  uint32_t core_size = 3;
  /// Last word on the settings of whoever starts.
  std::function<void(Identity&)> configure;
  /// How many stores keep a history log, as the settings of a deployment give it.
  uint32_t copies = kDefaultHistoryReplicas;

  Net net;
  std::vector<std::string> notes, failures;
  bool keep_notes = false;
  uint64_t messages = 0, syncs = 0;
  /// What leaves a process by another door: "local:", "replica:".
  std::function<void(Node&, const Envelope&)> local, replica;
  std::function<void(Node&)> died;
  /// Sees each message that reaches a running process, before it does.
  std::function<void(const Envelope&)> arriving;
  void fail(const std::string& what);

 private:
  struct Item {
    TimePoint when;
    uint64_t seq;
    std::function<void()> f;
    bool operator<(const Item& o) const { return std::tie(when, seq) > std::tie(o.when, o.seq); }
  };
  void act(Node& n, Actions a);
  void send(Node& n, const Envelope& e);
  void deliver(const Address& to, const Envelope& e);
  void flush(Node& n);
  void begin_sync(Node& n);
  void step(Node& n, const Envelope& e);
  void tick(const std::string& name, uint64_t life);
  void look(Node& n);
  void die(Node& n);
  std::mt19937_64 dice_;
  TimePoint now_ = kProcessClockStart;
  uint64_t seq_ = 0;
  std::priority_queue<Item> items_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<Address, std::string> by_addr_;
  using EpochOfCluster = std::pair<Epoch, uint64_t>;
  void one_generation(const Node& n, const Metadata& m);
  /// Digests of the value at each epoch of each generation; the generation last seen there; those that were before.
  std::map<EpochOfCluster, uint64_t> truth_;
  std::map<Epoch, uint64_t> generations_;
  std::set<EpochOfCluster> retired_;
};

}  // namespace mosskeel::sim
