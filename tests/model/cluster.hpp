#pragma once
// A few real controller machines with their disks and the messages between them, as one state that can be copied,
// stepped by one action and hashed. Machines cannot be copied: a copy rebuilds each one from its inputs when needed.
#include <deque>

#include "consensus/controller_machine.hpp"
#include "model/observer.hpp"

namespace mosskeel::model {

/// What one action does to the cluster.
enum class Kind {
  deliver,            ///< a message reaches its receiver
  duplicate,          ///< a message reaches its receiver and stays in flight
  lose,               ///< a message is lost
  deliver_and_crash,  ///< a message is handled, the process ends before its journal is synced, and starts again
  tick,               ///< the clock of one node moves on
  tick_all,           ///< all clocks move on alike
  restart,            ///< a process ends and starts again with what was synced
  wipe,               ///< a process starts again with an empty disk, so as another incarnation
  hold_disk,          ///< a disk becomes so slow that nothing is synced until `sync`
  sync,               ///< all that a held disk lacks is synced
  disk_back,          ///< the disk that a node had lost is put in again, with its incarnation
  cut,                ///< the nodes of the bits of `index` are cut off from all others
  heal,               ///< the cut ends
  order,              ///< an operator sends its order to a controller
};

struct Action {
  Kind kind = Kind::deliver;
  size_t node = 0, index = 0;
  /// How far clocks move.
  Duration ms{};
  bool operator==(const Action&) const = default;
};
using Trace = std::vector<Action>;
std::string describe(const Action& action);
std::string describe(const Trace& trace);

/// A fault planted between the machines; the machines themselves stay as they are.
enum class Fault {
  none,
  votes_of_absent,       ///< a member that is cut off seems to grant everything: a quorum of one member less
  sends_before_sync,     ///< messages that wait for the journal leave at once
  votes_forgotten,       ///< an acceptor's journal records are dropped
  clusters_not_compared  ///< messages of any generation pass for one of the receiver's own
};

/// An operator's change, sent again as it was to any controller.
struct Order {
  std::string id;
  Transformation change;
};

/// How much the environment may do besides delivering and ticking, over the whole trace.
struct Budget {
  int crashes = 2, wipes = 0, returns = 0, cuts = 1, holds = 1, resends = 2, duplicates = 2;
};

struct Options {
  Fault fault = Fault::none;
  /// How far the clocks move when nothing is in flight.
  Duration quiet_step = 400ms;
  /// How far a single clock may run ahead.
  Duration lone_step = 450ms;
  /// Whether the supervisor's lease is asked for; without it members do not change by themselves.
  bool leases = false;
  /// Whether a restart is compared with what the node told; off, only what follows from a lapse is noticed.
  bool watch_restarts = true;
};

/// The state of the model: controllers, their disks and the messages in flight. A copy is a state of its own.
///
/// Invariant: the same actions from the same start lead to the same state and fingerprint, also after copies; all that
/// is random comes from the machines' seeds. The observer is told of whatever nodes show, send, answer and write.
class Cluster {
 public:
  explicit Cluster(Options options) : options_(options) {}
  /// Starts a controller on an empty disk; returns its index.
  size_t add(const Address& address, const Addresses& seeds, uint32_t core_size);
  /// All that may happen now; the first is what happens in a world without trouble.
  std::vector<Action> enabled() const;
  bool possible(const Action& action) const;
  void apply(const Action& action);
  /// Two states with one fingerprint go on alike, but for the order in which messages without effect came.
  uint64_t fingerprint() const;

  void submit(Order order) { orders_.push_back(std::move(order)); }
  /// Puts a message of somebody outside the model before a node.
  void inject(size_t node, Envelope envelope);
  MetadataSnapshot view(size_t node) const { return nodes_[node].view; }
  size_t size() const { return nodes_.size(); }
  TimePoint clock(size_t node) const { return nodes_[node].clock; }
  size_t in_flight() const { return network_.size(); }
  const Envelope& message(size_t index) const { return *network_[index].envelope; }
  Incarnation incarnation(size_t node) const { return nodes_[node].identity.self.incarnation; }
  const DaemonInfo& candidate(size_t node) const { return nodes_[node].identity.self; }
  const Observer& observer() const { return observer_; }
  Budget budget;
  Options& options() { return options_; }

 private:
  using SharedEnvelope = std::shared_ptr<const Envelope>;
  /// What a machine was given; the inputs of a node form a list from the last to the first.
  struct Input {
    SharedEnvelope envelope;  ///< null for a tick
    TimePoint now;
    std::shared_ptr<const Input> before;
  };
  /// Holds the machine; a copy holds none and is rebuilt.
  struct Running {
    Running() = default;
    ~Running() = default;
    Running(const Running&) {}
    Running& operator=(const Running& other) {
      if (this != &other)
        machine.reset();
      return *this;
    }
    Running(Running&&) = default;
    Running& operator=(Running&&) = default;
    std::unique_ptr<ControllerMachine> machine;
  };
  /// What one step writes, and the messages that may leave only after the sync.
  struct Batch {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    std::vector<Envelope> sends;
  };
  struct Disk {
    Incarnation incarnation{};
    std::optional<std::string> checkpoint;
    std::vector<std::string> journal;
  };
  struct Node {
    Identity identity;
    /// The disk that was wiped, with its incarnation.
    std::optional<Disk> lost;
    /// What the running process found on its disk.
    Recovered found;
    TimePoint started{}, clock{};
    std::shared_ptr<const Input> inputs;
    Running running;
    MetadataSnapshot view;
    std::optional<std::string> checkpoint;
    std::vector<std::string> journal;
    std::vector<Batch> unsynced;
    Durable durable;  ///< what the synced part of that says
    bool held = false;
    /// Hashes of the inputs so far, and of those since whose order does not matter.
    uint64_t history = 0, unordered = 0;
  };
  struct Flying {
    SharedEnvelope envelope;
    size_t to;
    uint64_t hash;
  };
  /// From a process to a node.
  struct Link {
    Incarnation from{};
    size_t to = 0;
    auto operator<=>(const Link&) const = default;
  };
  struct LocalMessage {
    size_t node;
    SharedEnvelope envelope;
  };

  // actions.cpp
  void add_network_actions(std::vector<Action>& candidates) const;
  void add_node_actions(std::vector<Action>& candidates, size_t node) const;
  void carry_out(const Action& action);
  void deliver_and_crash(const Action& action);
  void tick_all(Duration time);
  void cut_off(size_t nodes);
  void submit_to(size_t node, size_t order);

  // cluster.cpp
  ControllerMachine& machine(Node& node) const;
  std::optional<size_t> at(const Address& address) const;
  void start(size_t node);
  void crash(size_t node);
  void wipe(size_t node);
  void return_disk(size_t node);
  bool severed(size_t one, size_t other) const { return ((cut_ >> one) & 1) != ((cut_ >> other) & 1); }
  void receive(size_t node, SharedEnvelope envelope);
  void tick(size_t node, Duration time);
  void carry_out(size_t node, Actions actions, const SharedEnvelope& cause);
  void plant_fault(Actions& actions) const;
  void remember(Node& node, const Actions& actions, const SharedEnvelope& cause, bool moved);
  void sync(size_t node);
  void send(size_t node, Envelope envelope);
  void answer_operator(const CommitReply& reply);
  void transmit(Envelope envelope, size_t to);
  bool forged(size_t node, const Envelope& envelope);
  void look(size_t node);
  void drain();
  std::map<Incarnation, Durable> disks() const;
  SharedEnvelope take(size_t index);

  Options options_;
  std::vector<Node> nodes_;
  std::vector<Flying> network_;
  /// What a node has sent to itself in the action under way: its process hands it over in order, never losing it.
  std::deque<LocalMessage> local_;
  std::vector<Order> orders_;
  /// A bit for each node that is cut off from those without.
  size_t cut_ = 0;
  uint64_t next_incarnation_ = 1;
  Observer observer_;
};

}  // namespace mosskeel::model
