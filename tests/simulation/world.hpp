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

/// All kinds, in the order in which scenarios iterate over a fleet.
constexpr Kind kAllKinds[] = {Kind::controller, Kind::store, Kind::agent, Kind::gateway};

/// The disk of one daemon: synced data survives the process, data waiting for a sync may be lost.
struct SimDisk {
  /// Data written by one step of the state machine, and the messages that may be sent only after its sync.
  struct Batch {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    std::vector<Envelope> sends;
  };
  std::optional<std::string> checkpoint;
  /// The journal since the checkpoint.
  std::vector<std::string> synced;
  std::deque<Batch> waiting;
  /// Number of waiting batches covered by the sync in progress.
  size_t in_flight = 0;
  /// Additional delay of each sync.
  Duration slow{};

  /// Makes a batch durable; the caller sends its messages.
  void persist(Batch& batch);
};

/// A daemon at its address: its process, if running, and its disk.
struct Node {
  std::string name;
  Kind kind = Kind::controller;
  Identity id;
  /// The other daemon of the same machine: an agent's gateway, a gateway's agent.
  Address beside;
  /// Null while no process runs.
  std::unique_ptr<StateMachine> machine;
  SimDisk disk;
  /// A frozen process handles neither messages nor timers, but its clock advances.
  bool frozen = false;
  /// Identifies this process; events that were scheduled for an earlier process of the node are ignored.
  uint64_t process_id = 0;
  /// Messages received while the process was frozen.
  std::deque<Envelope> backlog;
  /// The newest epoch and revision observed at this process.
  Epoch seen{};
  Revision revision{};
  /// Each process has a clock with its own offset and rate.
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
  /// Maximum delay of a message, except for those delayed like a retransmission.
  Duration delay = 2ms;
  /// The fraction of messages that are lost, and the fraction that arrive twice or late.
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

/// The daemons of a fleet, the network between them and the faults that can be injected. All random values are drawn
/// from one generator in a fixed order, so that a seed always gives the same run.
///
/// Invariants, checked throughout: no daemon returns to an earlier epoch or revision, all daemons agree on the metadata
/// of an epoch (`MetadataAgreement`), and two controllers never hold the supervisor lease at once.
class World {
 public:
  World(uint64_t seed, FleetSize size);

  /// Lets this much time pass.
  void run(Duration time);
  /// Lets time pass until the condition holds; false if it does not hold within this time.
  bool until(Duration time, const std::function<bool()>& condition);
  void at(TimePoint when, std::function<void()> action) { scheduler_.at(when, std::move(action)); }
  TimePoint now() const { return scheduler_.now(); }
  /// Current reading of the process's own clock, which differs from all others.
  TimePoint clock(const Node& node) const;

  uint64_t next_random() { return random_(); }
  Duration below(Duration limit) { return Duration(random_() % static_cast<uint64_t>(limit.count())); }
  uint64_t below(uint64_t limit) { return random_() % limit; }
  bool chance(double probability);
  /// A random one of the first three zones.
  std::string any_zone();

  Node& node(const std::string& name);
  std::vector<std::string> names(Kind kind) const;
  /// The names of all daemons, kind after kind in the order of `kAllKinds`.
  std::vector<std::string> all_names() const;
  /// Whether its process runs and is not frozen.
  bool alive(const std::string& name);
  /// Whether this gateway accepts requests.
  bool ready(const std::string& gateway);

  /// Adds a daemon under a new address.
  void add(const std::string& name, Kind kind, const std::string& zone, const Address& beside = "");
  void start(const std::string& name);
  /// Kills the process; a random part of the unsynced data survives.
  void kill(const std::string& name);
  /// Stops the process gracefully, after all written data is synced.
  void stop(const std::string& name);
  /// Ends the process by a power loss; no unsynced data survives.
  void power_off(const std::string& name);
  /// Ends the process and erases its disk.
  void wipe(const std::string& name);
  void freeze(const std::string& name) { node(name).frozen = true; }
  void wake(const std::string& name);
  /// Cuts one direction of a link.
  void cut(const std::string& from, const std::string& to) { net.cuts.insert({from, to}); }
  /// Cuts a daemon off from all others except the one on the same machine.
  void isolate(const std::string& name);
  void heal() { net.cuts.clear(); }
  /// Delivers a message to the state machine as if from within the process; queued while the process is frozen.
  void post(const std::string& name, Envelope envelope);
  /// Records an invariant violation; only the first ones are kept.
  void fail(const std::string& what);

  Addresses seeds;
  uint32_t core_size = 3;
  /// Adjusts the settings of each daemon just before it starts.
  std::function<void(Identity&)> configure;
  /// How many stores keep a history, as the settings of a deployment give it.
  uint32_t copies = kDefaultHistoryReplicas;

  Network net;
  std::vector<std::string> notes, failures;
  bool keep_notes = false;
  uint64_t messages = 0, syncs = 0;
  /// Called for messages from a process to a caller or operator ("local:") or to a replica ("replica:").
  std::function<void(Node&, const Envelope&)> local, replica;
  /// Called for each process that ends.
  std::function<void(Node&)> died;
  /// Called for each message to a running process just before its delivery.
  std::function<void(const Envelope&)> arriving;
  /// Called with each message to another process, whether it arrives or not.
  std::function<void(const Envelope&)> sending;

 private:
  std::unique_ptr<StateMachine> make_machine(const Node& node);
  void step(Node& node, const Envelope& envelope);
  void tick(const std::string& name, uint64_t process_id);
  void apply_actions(Node& node, Actions actions);
  void write(Node& node, Actions& actions);
  void begin_sync(Node& node);
  void finish_sync(Node& node);
  void end_process(Node& node);
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
  uint64_t last_process_id_ = 0;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  MetadataAgreement agreement_;
};

/// The newest metadata that any running controller holds; null if none runs.
MetadataSnapshot latest(World& world);

}  // namespace mosskeel::sim
