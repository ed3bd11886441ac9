#pragma once
// Runs a state machine on real sockets and a real disk.
#include <thread>

#include "net/transport.hpp"
#include "runtime/inbox.hpp"
#include "storage/journal_writer.hpp"

namespace mosskeel {

/// Returns this process's time by the steady clock. Times of different processes are not comparable.
TimePoint process_now();

/// Limits in bytes of what a host holds in memory.
struct HostLimits {
  /// Of messages queued for the state machine; beyond it, further messages that are not small are dropped as if lost in
  /// transit.
  size_t inbox_bytes = SIZE_MAX;
  /// Of messages queued for other daemons.
  SendQueueLimits send_queues = SendQueueLimits::for_memory(0);
};

/// Uses three threads: one runs the state machine, one writes its journal (only with a disk), and the transport's
/// thread receives messages. Messages that depend on the journal are sent by the disk thread once it is durable.
///
/// All public methods are thread-safe, except that only the owner may call `start` and `stop`.
class Host {
 public:
  /// Creates the state machine from the data recovered from disk, at the given time.
  using MachineFactory = std::function<std::unique_ptr<StateMachine>(Recovered, TimePoint)>;
  /// Handles a message to an address inside this process ("local:7", "replica:m1"). Called on the state machine's or
  /// the disk thread.
  using MessageHandler = std::function<void(const Envelope&)>;
  /// Called with the state machine, on its thread.
  using Observer = std::function<void(StateMachine&, TimePoint)>;

  /// `disk` may be null for a daemon without a journal.
  Host(std::shared_ptr<Disk> disk, Address self, HostLimits limits = {});
  ~Host() { stop(); }

  /// Listens on the address for other daemons; what arrives is queued until `start`. Returns errors if that fails; it
  /// may be tried again.
  Errors listen();
  /// Creates the state machine and starts the threads. Listens if `listen` has not been called; returns errors, and
  /// starts no thread, if that fails.
  Errors start(const MachineFactory& make_machine);
  /// Handles everything posted before, writes the journal and ends the host's threads. What arrives from other daemons
  /// is dropped from then on. May be called repeatedly.
  void stop();
  /// Returns whether the host was stopped, the state machine requested an exit, or the disk has failed.
  bool stopped() const { return stopped_; }

  /// Routes messages to addresses with `prefix` (the part before a colon) to a handler inside this process. Must be
  /// called before `start`.
  void route(const std::string& prefix, MessageHandler handler) { local_routes_[prefix] = std::move(handler); }
  /// Sets the observer, which is called after each batch of steps.
  void watch(Observer observer);
  /// Queues a message from inside the process for the state machine. Returns false, and drops it, if the host has
  /// stopped.
  /// @param bytes the message's size, if its sender observes `inbox_bytes`.
  bool post(Envelope message, size_t bytes = 0) { return inbox_.post(std::move(message), bytes); }
  /// Bytes of the messages that wait for the state machine.
  size_t inbox_bytes() const { return inbox_.bytes(); }
  /// Runs `function` on the state machine's thread and waits for it to return. Does not run it if the host has stopped.
  void ask(const std::function<void(StateMachine&, TimePoint)>& function);
  /// Returns the state machine's metadata as of its last batch of steps.
  MetadataSnapshot view() const { return std::atomic_load(&view_); }

  /// Null for a daemon without a journal.
  const JournalWriter* journal() const { return journal_.get(); }
  uint64_t syncs() const { return disk_ ? disk_->sync_count() : 0; }
  uint64_t sent() const { return transport_ ? transport_->sent() : 0; }
  uint64_t dropped() const { return transport_ ? transport_->dropped() : 0; }
  /// Bytes of the messages that wait for their peers.
  size_t bytes_waiting_for_peers() const { return transport_ ? transport_->queued_bytes() : 0; }
  uint64_t foreign_messages() const { return transport_ ? transport_->foreign() : 0; }
  /// Bytes of records and checkpoints not yet on disk, and of the messages that depend on them.
  size_t bytes_waiting_for_disk() const { return bytes_waiting_for_disk_; }
  /// Number of messages dropped because the state machine's inbox was full.
  uint64_t dropped_inbox_messages() const { return inbox_.dropped(); }

 private:
  void run_machine();
  void handle_inbox(Duration timeout);
  void publish_view();
  void run_disk();
  /// Returns false if the disk has failed.
  bool write_batches(std::deque<Batch> batches);
  /// Requests a checkpoint from the state machine. It is created on the state machine's thread, so that it covers
  /// everything enqueued before it.
  void request_checkpoint();
  void perform(Actions actions);
  void enqueue(Batch batch);
  void send(Envelope message);

  std::shared_ptr<Disk> disk_;
  std::unique_ptr<JournalWriter> journal_;
  Address self_;
  const SendQueueLimits send_limits_;
  /// Accessed only by `machine_thread_` once that is running.
  std::unique_ptr<StateMachine> machine_;
  std::map<std::string, MessageHandler> local_routes_;
  Inbox inbox_;
  /// Adds to the inbox.
  std::unique_ptr<Transport> transport_;
  Queue<Batch> disk_queue_;
  /// Accessed with the atomic functions for shared pointers.
  MetadataSnapshot view_ = std::make_shared<Metadata>();
  std::thread machine_thread_, disk_thread_;
  std::atomic<bool> stopped_{false};
  /// Whether the state machine's thread must end.
  std::atomic<bool> halting_{false};
  std::atomic<size_t> bytes_waiting_for_disk_{0};
  std::mutex observer_mutex_;
  /// Guarded by `observer_mutex_`.
  Observer observer_;
};

}  // namespace mosskeel
