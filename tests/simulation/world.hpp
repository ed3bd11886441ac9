#pragma once
// A simulated world: the real state machines of daemons on simulated clocks, disks and network links.
#include <deque>
#include <random>

#include "consensus/controller_machine.hpp"
#include "history/store_machine.hpp"
#include "metadata/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "replication/agent_machine.hpp"
#include "simulation/metadata_agreement.hpp"
#include "simulation/scheduler.hpp"

namespace mosskeel::sim {

enum class Kind { controller, store, agent, gateway };

/// All kinds, in the order in which scenarios go through a fleet.
constexpr Kind kAllKinds[] = {Kind::controller, Kind::store, Kind::agent, Kind::gateway};

/// The disk of one daemon: what is synced survives the process, what waits may be lost.
struct SimDisk {
  /// What one step of the state machine writes, and the messages that may leave only after the sync.
  struct Batch {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    std::vector<Envelope> sends;
  };
  std::optional<std::string> checkpoint;
  /// The journal since the checkpoint.
  std::vector<std::string> synced;
  std::deque<Batch> waiting;
  /// How many of the waiting batches the sync under way covers.
  size_t in_flight = 0;
  /// What a sync takes beyond the usual.
  Duration slow{};

  /// Makes a batch durable; its messages are the caller's to send.
  void persist(Batch& batch);
};

/// One daemon at its address: its process, if one runs, and its disk.
struct Node {
  std::string name;
  Kind kind = Kind::controller;
  Identity id;
  /// The other daemon of the same machine: an agent's gateway, a gateway's agent.
  Address beside;
  /// Null while no process runs.
  std::unique_ptr<StateMachine> machine;
  SimDisk disk;
  /// A frozen process neither handles messages nor looks at timers, though its clock goes on.
  bool frozen = false;
  /// The number of this process; events that were scheduled for an earlier process of the node do nothing.
  uint64_t life = 0;
  /// Messages that came while the process was frozen.
  std::deque<Envelope> backlog;
  /// The newest epoch and revision that this process has shown.
  Epoch seen{};
  Revision revision{};
  /// The clock of this process starts elsewhere than any other's and runs at a rate of its own.
  Duration clock_offset{};
  double rate = 1;

  bool has_disk() const { return kind == Kind::controller || kind == Kind::store; }
};

/// One direction of a network link.
struct Link {
  Address from;
  Address to;
  auto operator<=>(const Link&) const = default;
};

struct Network {
  /// The greatest delay of a message, but for those that are delayed like a retransmission.
  Duration delay = 2ms;
  /// The shares of messages that are lost, and that arrive twice or late.
  double loss = 0;
  double twice = 0;
  std::set<Link> cuts;
};

/// How many machines there are of each role.
struct FleetSize {
  int controllers = 3;
  int stores = 3;
  int gateways = 3;
  int models = 4;
  int zones = 3;
  int apps = 3;
  /// How many machines with a disk may be lost at once.
  int tolerated = 1;
};

/// The daemons of a fleet, the network between them, and what may happen to them. Everything random is drawn from one
/// generator in a fixed order, so that a seed always plays the same day.
///
/// Checked all the time: no daemon goes back to an earlier epoch or revision, all daemons agree on the metadata of an
/// epoch (`MetadataAgreement`), and never do two controllers hold the supervisor's lease at once.
class World {
 public:
  World(uint64_t seed, FleetSize size);

  /// Lets this much time pass.
  void run(Duration time);
  /// Lets time pass until the condition holds; false if it does not within the time.
  bool until(Duration time, const std::function<bool()>& condition);
  void at(TimePoint when, std::function<void()> action) { scheduler_.at(when, std::move(action)); }
  TimePoint now() const { return scheduler_.now(); }
  /// What the clock of one process shows now; no two agree.
  TimePoint clock(const Node& node) const;

  uint64_t next_random() { return random_(); }
  Duration below(Duration limit) { return Duration(random_() % static_cast<uint64_t>(limit.count())); }
  uint64_t below(uint64_t limit) { return random_() % limit; }
  bool chance(double probability);
  /// A zone of the first three, by its letter.
  std::string any_zone();

  Node& node(const std::string& name);
  std::vector<std::string> names(Kind kind) const;
  /// The names of all daemons, kind after kind in the order of `kAllKinds`.
  std::vector<std::string> all_names() const;
  /// Whether its process runs and is not frozen.
  bool alive(const std::string& name);
  /// Whether this gateway would take requests.
  bool ready(const std::string& gateway);

  /// Adds a daemon under a new address.
  void add(const std::string& name, Kind kind, const std::string& zone, const Address& beside = "");
  void start(const std::string& name);
  /// The process dies; what was written but not synced survives in part.
  void kill(const std::string& name);
  /// The process ends in order: what it wrote is synced before it goes.
  void stop(const std::string& name);
  /// Power is lost; nothing unsynced survives.
  void power_off(const std::string& name);
  /// The process dies and its disk is lost.
  void wipe(const std::string& name);
  void freeze(const std::string& name) { node(name).frozen = true; }
  void wake(const std::string& name);
  /// Cuts one direction of a link.
  void cut(const std::string& from, const std::string& to) { net.cuts.insert({from, to}); }
  /// Cuts a daemon off from all but the one beside it.
  void isolate(const std::string& name);
  void heal() { net.cuts.clear(); }
  /// Puts a message from inside a gateway's or controller's own process before its state machine.
  void post(const std::string& name, Envelope envelope);
  /// Notes a broken promise; the first ones are kept.
  void fail(const std::string& what);

  Addresses seeds;
  uint32_t core_size = 3;
  /// Has the last word on the settings of whoever starts.
  std::function<void(Identity&)> configure;
  /// How many stores keep a history, as the settings of a deployment give it.
  uint32_t copies = kDefaultHistoryReplicas;

  Network net;
  std::vector<std::string> notes, failures;
  bool keep_notes = false;
  uint64_t messages = 0, syncs = 0;
  /// Hear what leaves a process for a caller or operator ("local:") and for a replica ("replica:").
  std::function<void(Node&, const Envelope&)> local, replica;
  /// Hears of each process that ends.
  std::function<void(Node&)> died;
  /// Sees each message that reaches a running process, before it does.
  std::function<void(const Envelope&)> arriving;

 private:
  std::unique_ptr<StateMachine> make_machine(const Node& node);
  void step(Node& node, const Envelope& envelope);
  void tick(const std::string& name, uint64_t life);
  void carry_out(Node& node, Actions actions);
  void write(Node& node, Actions& actions);
  void begin_sync(Node& node);
  void finish_sync(Node& node);
  void die(Node& node);
  void send(Node& node, const Envelope& envelope);
  void send_all(Node& node, const std::vector<Envelope>& envelopes);
  Duration network_delay();
  void deliver(const Envelope& envelope);
  bool is_supervisor(const Node& node) const;
  void check_one_supervisor(const Node& node);
  void check_metadata(Node& node);
  void note(const std::string& text);
  std::vector<MetadataAgreement::Holder> holders() const;

  std::mt19937_64 random_;
  Scheduler scheduler_;
  uint64_t lives_ = 0;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  MetadataAgreement agreement_;
};

/// The newest metadata that any running controller holds; null if none runs.
MetadataSnapshot latest(World& world);

}  // namespace mosskeel::sim
