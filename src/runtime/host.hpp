#pragma once
// Runs a machine: one thread for its state, one for its disk, the post's for hearing.
#include <thread>

#include "base/queue.hpp"
#include "net/transport.hpp"
#include "runtime/inbox.hpp"
#include "storage/journal_writer.hpp"

namespace mosskeel {

/// This process's own time by the steady clock; it says nothing to any other process.
Millis process_now();

class Host {
 public:
  using Make = std::function<std::unique_ptr<Machine>(Recovered, Millis)>;
  /// Where a message goes that is not for another daemon ("local:7", "replica:m1").
  using Deliver = std::function<void(const Envelope&)>;

  /// Beyond `inbox_most` bytes of messages that wait for the machine, larger ones are dropped as if lost on the way.
  Host(std::shared_ptr<Disk> disk, Address self, size_t inbox_most = SIZE_MAX);
  ~Host() { stop(); }
  Errors start(const Make& make);
  void route(const std::string& prefix, Deliver d) { routes_[prefix] = std::move(d); }
  /// Called in the machine's thread after each batch of its steps; set before `start`'s threads need it.
  void watch(std::function<void(Machine&, Millis)> f) {
    std::lock_guard l(watch_lock_);
    watch_ = std::move(f);
  }
  /// Puts a message from inside the process before the machine.
  void post(Envelope e) { in_.post(std::move(e)); }
  /// Runs in the machine's own thread and waits for the result.
  void ask(const std::function<void(Machine&, Millis)>& f);
  View view() const { return std::atomic_load(&view_); }
  bool stopped() const { return stop_; }
  void stop();
  uint64_t syncs() const { return disk_ ? disk_->syncs() : 0; }
  /// Nothing where no journal is kept.
  const JournalWriter* journal() const { return journal_.get(); }
  uint64_t sent() const { return post_ ? post_->sent() : 0; }
  uint64_t dropped() const { return post_ ? post_->dropped() : 0; }
  /// Bytes that wait for the disk: records, checkpoints, and the messages behind them.
  size_t waiting() const { return waiting_; }
  /// Messages dropped because too many waited for the machine.
  uint64_t refused() const { return in_.refused(); }
  uint64_t foreign() const { return post_ ? post_->foreign() : 0; }

 private:
  void think();
  void write();
  void ask_checkpoint();
  void act(Actions a);
  void push(Batch b);
  void send(Envelope e);
  std::shared_ptr<Disk> disk_;
  std::unique_ptr<JournalWriter> journal_;
  Address self_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<Transport> post_;
  std::map<std::string, Deliver> routes_;
  Inbox in_;
  Queue<Batch> out_;
  View view_ = std::make_shared<Metadata>();
  std::thread thinker_, writer_;
  std::atomic<bool> stop_{false}, halt_{false};
  std::atomic<size_t> waiting_{0};
  std::mutex watch_lock_;
  std::function<void(Machine&, Millis)> watch_;
};

}  // namespace mosskeel
