#pragma once
// Runs a state machine on real sockets and a real disk.
#include <thread>

#include "net/transport.hpp"
#include "runtime/inbox.hpp"
#include "storage/journal_writer.hpp"

namespace mosskeel {

/// This process's own time by the steady clock; the times of two processes are not comparable.
TimePoint process_now();

/// Three threads: one steps the state machine, one writes its journal (only with a disk), and the transport's receives.
/// Messages that wait for the journal leave from the disk's thread once it is durable.
///
/// All public methods may be called from any thread, `start` and `stop` by the owner alone.
class Host {
 public:
  /// Creates the state machine from what the disk held, at the time given.
  using Make = std::function<std::unique_ptr<StateMachine>(Recovered, TimePoint)>;
  /// Takes a message that is not for another daemon ("local:7", "replica:m1"); called by the state machine's thread or
  /// the disk's.
  using Deliver = std::function<void(const Envelope&)>;
  /// Looks at the state machine in its own thread.
  using Watch = std::function<void(StateMachine&, TimePoint)>;

  /// `disk` may be null for a daemon that keeps no journal. Beyond `max_inbox_bytes` of messages that wait for the
  /// state machine, larger ones are dropped as if lost on the way.
  Host(std::shared_ptr<Disk> disk, Address self, size_t max_inbox_bytes = SIZE_MAX);
  ~Host() { stop(); }

  /// Errors where the address cannot be listened on; nothing runs then.
  Errors start(const Make& make);
  /// Ends all threads: handles what was posted before, and writes the journal. May be called twice.
  void stop();
  /// The state machine has asked to end, or the disk has failed.
  bool stopped() const { return stopped_; }

  /// Delivers messages to addresses that begin with `prefix` (up to a colon) inside this process. Before `start`.
  void route(const std::string& prefix, Deliver deliver) { local_routes_[prefix] = std::move(deliver); }
  /// Called after each batch of steps.
  void watch(Watch watch);
  /// Hands the state machine a message from inside the process. False where the host has ended: the message is dropped.
  bool post(Envelope message) { return inbox_.post(std::move(message)); }
  /// Runs `function` in the state machine's thread and waits for its end. Not run where the host has ended.
  void ask(const std::function<void(StateMachine&, TimePoint)>& function);
  /// The metadata that the state machine knew after its last batch of steps.
  MetadataSnapshot view() const { return std::atomic_load(&view_); }

  /// Null where no journal is kept.
  const JournalWriter* journal() const { return journal_.get(); }
  uint64_t syncs() const { return disk_ ? disk_->sync_count() : 0; }
  uint64_t sent() const { return transport_ ? transport_->sent() : 0; }
  uint64_t dropped() const { return transport_ ? transport_->dropped() : 0; }
  uint64_t foreign() const { return transport_ ? transport_->foreign() : 0; }
  /// Bytes that wait for the disk: records, checkpoints, and the messages behind them.
  size_t waiting() const { return bytes_waiting_for_disk_; }
  /// Messages dropped because too many waited for the state machine.
  uint64_t refused() const { return inbox_.refused(); }

 private:
  void run_machine();
  void handle_inbox(Duration timeout);
  void publish_view();
  void run_disk();
  bool write_batches(std::deque<Batch> batches);
  void request_checkpoint();
  void perform(Actions actions);
  void enqueue(Batch batch);
  void send(Envelope message);

  std::shared_ptr<Disk> disk_;
  std::unique_ptr<JournalWriter> journal_;
  Address self_;
  /// Touched by its own thread alone once that runs.
  std::unique_ptr<StateMachine> machine_;
  std::unique_ptr<Transport> transport_;
  std::map<std::string, Deliver> local_routes_;
  Inbox inbox_;
  Queue<Batch> disk_queue_;
  /// Read and written as an atomic shared pointer.
  MetadataSnapshot view_ = std::make_shared<Metadata>();
  std::thread machine_thread_, disk_thread_;
  std::atomic<bool> stopped_{false};
  /// The threads are to end.
  std::atomic<bool> halting_{false};
  std::atomic<size_t> bytes_waiting_for_disk_{0};
  std::mutex watch_mutex_;
  /// Guarded by `watch_mutex_`.
  Watch watch_;
};

}  // namespace mosskeel
