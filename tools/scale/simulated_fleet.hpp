#pragma once
// A fleet of the daemons' own state machines on virtual time, which counts every message and the processor time of
// each step.
#include <unordered_map>

#include "history/store_machine.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/constants.hpp"
#include "scale/counters.hpp"
#include "scale/plan.hpp"

namespace mosskeel::scale {

/// From process to process within a zone.
constexpr Duration kZoneInternalDelay = 1ms;
/// Between zones of one region.
constexpr Duration kZoneDelay = 2ms;
/// Between regions.
constexpr Duration kRegionDelay = 30ms;
/// How long a disk takes to sync.
constexpr Duration kSyncDuration = 2ms;

/// A process of the simulated fleet, with its disk.
struct SimulatedProcess {
  ProcessSpec spec;
  /// Nothing while the process is stopped.
  std::unique_ptr<StateMachine> machine;
  /// Changes with each start and stop, so that events of an earlier run are dropped.
  uint64_t run_number = 0;
  /// The newest epoch that the machine has shown.
  Epoch known_epoch{};
  /// What is on disk: the newest checkpoint and the synced journal records after it.
  std::optional<std::string> checkpoint;
  std::vector<std::string> synced_records;

  struct DiskWrite {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    /// May leave once the write is synced.
    std::vector<Envelope> messages;
  };
  std::deque<DiskWrite> pending_writes;
  /// The first so many of `pending_writes` belong to the sync under way.
  size_t writes_in_sync = 0;

  Counters counters;
};

/// All processes with their disks and the network between them, on one thread. Events of one point in virtual time run
/// in the order in which they were scheduled, so the same plan and seed give the same messages.
class SimulatedFleet {
 public:
  using ProcessMessage = std::function<void(SimulatedProcess&, const Envelope&)>;

  /// The fleet of the plan, founded, joined and at rest; each store holds these histories already.
  SimulatedFleet(const Plan& plan, uint64_t seed, const StoredPartitions& histories = {});

  /// Lets time pass.
  void run(Duration duration);
  /// Lets time pass until the condition holds; false if it does not within the duration.
  bool run_until(Duration duration, const std::function<bool()>& condition);
  void schedule(TimePoint when, std::function<void()> action);
  TimePoint now() const { return now_; }

  std::vector<SimulatedProcess>& processes() { return processes_; }
  /// The process of this kind and number among those of its kind.
  SimulatedProcess& process(ProcessKind kind, size_t number);
  /// Indices in `processes()`.
  std::vector<size_t> indices_of(ProcessKind kind) const;

  /// Starts a process that is stopped. With `new_incarnation` one without a disk comes as another than before.
  void start(size_t index, bool new_incarnation = false);
  /// Stops a process; what it had not synced is lost.
  void stop(size_t index);
  /// Puts a message from inside the process before its machine.
  void deliver_locally(size_t index, Envelope message);

  void reset_counters();
  Counters sum(ProcessKind kind) const;
  bool all_gateways_ready();

  /// Called with messages to addresses "local:...": answers to what `deliver_locally` brought.
  ProcessMessage on_local_message;
  /// Called with messages to addresses "replica:...".
  ProcessMessage on_replica_message;
  /// Called when a gateway knows a new epoch.
  std::function<void(SimulatedProcess&, Epoch)> on_gateway_epoch;
  /// Whether the network between two processes is cut.
  std::function<bool(const SimulatedProcess&, const SimulatedProcess&)> is_cut;
  /// Invariants that were broken.
  std::vector<std::string> failures;

 private:
  struct Event {
    /// An action, or a message for the process of this index.
    std::function<void()> action;
    size_t receiver = 0;
    std::shared_ptr<const Envelope> message;
  };

  void execute(const Event& event);
  void tick(size_t index, uint64_t run_number);
  template <class Step>
  Actions timed(SimulatedProcess& process, Step step);
  void perform(SimulatedProcess& process, Actions actions);
  void note_epoch(SimulatedProcess& process);
  void check_value(const SimulatedProcess& process, const Metadata& metadata);
  void write(SimulatedProcess& process, Actions& actions);
  void begin_sync(SimulatedProcess& process);
  void finish_sync(SimulatedProcess& process);
  void send(SimulatedProcess& sender, Envelope message);
  void send_over_network(SimulatedProcess& sender, Envelope message);
  size_t encoded_size(const Envelope& message);
  size_t index_of(const SimulatedProcess& process) const { return static_cast<size_t>(&process - processes_.data()); }

  std::mt19937_64 random_;
  TimePoint now_ = kProcessClockStart;
  uint64_t last_run_number_ = 0;
  std::map<TimePoint, std::vector<Event>> events_;
  std::vector<SimulatedProcess> processes_;
  std::unordered_map<Address, size_t> index_by_address_;
  /// Encoded sizes, without addresses, of messages that go to many.
  std::unordered_map<uint64_t, size_t> shared_message_sizes_;
  /// The digest of the metadata at each epoch: the same everywhere.
  std::map<Epoch, uint64_t> digest_by_epoch_;
};

}  // namespace mosskeel::scale
