#include "runtime/host.hpp"

#include <chrono>
#include <future>

#include "base/log.hpp"
#include "net/message_size.hpp"
#include "runtime/constants.hpp"
#include "storage/constants.hpp"

namespace mosskeel {

namespace {

/// How long the disk thread waits for work before it checks whether it must end.
constexpr Duration kDiskQueueWait = 200ms;

size_t bytes_in_memory(const Batch& batch) {
  size_t bytes = batch.checkpoint ? batch.checkpoint->size() : 0;
  for (const auto& record : batch.journal)
    bytes += record.size();
  for (const auto& message : batch.sends)
    bytes += sizeof message + history_bytes(message.body);
  return bytes;
}

}  // namespace

TimePoint process_now() {
  using std::chrono::duration_cast;
  using std::chrono::steady_clock;
  static const auto start = steady_clock::now();
  return kProcessClockStart + duration_cast<Duration>(steady_clock::now() - start);
}

Host::Host(std::shared_ptr<Disk> disk, Address self, HostLimits limits)
    : disk_(std::move(disk)),
      journal_(disk_ ? std::make_unique<JournalWriter>(*disk_) : nullptr),
      self_(std::move(self)),
      send_limits_(limits.send_queues),
      inbox_(limits.inbox_bytes) {}

Errors Host::listen() {
  auto transport = Transport::open(
      self_, send_limits_, [this](Envelope message, size_t bytes) { inbox_.receive(std::move(message), bytes); });
  if (!transport.ok())
    return transport.errors();
  transport_ = std::move(transport).value();
  return {};
}

Errors Host::start(const MachineFactory& make_machine) {
  if (!transport_) {
    if (auto errors = listen(); !errors.empty())
      return errors;
  }
  machine_ = make_machine(disk_ ? disk_->take_recovered() : Recovered{}, process_now());
  std::atomic_store(&view_, machine_->view());
  machine_thread_ = std::thread([this] { run_machine(); });
  if (disk_)
    disk_thread_ = std::thread([this] { run_disk(); });
  return {};
}

void Host::stop() {
  stopped_ = true;
  // Closed before the state machine's thread is told to end, so that no item is added after its last read.
  inbox_.close();
  halting_ = true;
  if (machine_thread_.joinable())
    machine_thread_.join();
  disk_queue_.close();
  if (disk_thread_.joinable())
    disk_thread_.join();
}

void Host::watch(Observer observer) {
  std::lock_guard lock(observer_mutex_);
  observer_ = std::move(observer);
}

void Host::ask(const std::function<void(StateMachine&, TimePoint)>& function) {
  auto done = std::make_shared<std::promise<void>>();
  auto finished = done->get_future();
  // Only the call owns the promise, so dropping the call breaks the promise, which also ends the wait.
  inbox_.call([&function, done = std::move(done)](StateMachine& machine, TimePoint now) {
    function(machine, now);
    done->set_value();
  });
  finished.wait();
}

void Host::send(Envelope message) {
  if (message.to == self_) {
    post(std::move(message));
    return;
  }
  auto route = local_routes_.find(message.to);
  if (route == local_routes_.end())
    route = local_routes_.find(message.to.substr(0, message.to.find(':')));
  if (route != local_routes_.end())
    route->second(message);
  else
    transport_->send(message);
}

void Host::enqueue(Batch batch) {
  batch.bytes = bytes_in_memory(batch);
  bytes_waiting_for_disk_ += batch.bytes;
  disk_queue_.push(std::move(batch));
}

void Host::perform(Actions actions) {
  for (const auto& entry : actions.notes)
    log_event(entry.event, entry.text);
  for (auto& message : actions.now)
    send(std::move(message));
  if (!disk_) {
    for (auto& message : actions.synced)
      send(std::move(message));
  } else if (!actions.journal.empty() || !actions.synced.empty() || actions.checkpoint) {
    enqueue({std::move(actions.journal), std::move(actions.checkpoint), std::move(actions.synced)});
  }
  if (actions.stop)
    stopped_ = true;
}

void Host::handle_inbox(Duration timeout) {
  for (auto& item : inbox_.take(timeout)) {
    if (auto* message = std::get_if<Envelope>(&item.content))
      perform(machine_->step(*message, process_now()));
    else
      std::get<Inbox::Call>(item.content)(*machine_, process_now());
    inbox_.release(item);
  }
}

void Host::publish_view() {
  auto view = machine_->view();
  if (view != view_)
    std::atomic_store(&view_, view);
}

void Host::run_machine() {
  TimePoint next_tick{};
  while (!halting_) {
    auto now = process_now();
    if (now >= next_tick) {
      perform(machine_->tick(now));
      next_tick = now + kTickInterval;
    }
    handle_inbox(std::max(Duration(1ms), next_tick - process_now()));
    {
      std::lock_guard lock(observer_mutex_);
      if (observer_)
        observer_(*machine_, process_now());
    }
    publish_view();
  }
  handle_inbox(Duration::zero());
}

void Host::request_checkpoint() {
  inbox_.call([this](StateMachine& machine, TimePoint) {
    if (auto checkpoint = machine.checkpoint(); !checkpoint.empty())
      enqueue({{}, std::move(checkpoint), {}});
  });
}

bool Host::write_batches(std::deque<Batch> batches) {
  size_t bytes = 0;
  for (const auto& batch : batches)
    bytes += batch.bytes;
  auto written = journal_->write(std::move(batches));
  for (const auto& entry : written.notes)
    log_event(entry.event, entry.text);
  if (written.result.kind == DiskResult::failed) {
    log_event(Event::disk_failed, "no messages were sent that depend on unsynced records");
    stopped_ = true;
    return false;
  }
  for (auto& message : written.sends)
    send(std::move(message));
  bytes_waiting_for_disk_ -= bytes;
  return true;
}

void Host::run_disk() {
  while (true) {
    auto batches = disk_queue_.take(journal_->full() ? kFullDiskRetryInterval : kDiskQueueWait);
    bool is_last = batches.empty() && disk_queue_.closed();
    if (!write_batches(std::move(batches)) || is_last)
      return;
    if (journal_->wants_checkpoint(process_now()))
      request_checkpoint();
  }
}

}  // namespace mosskeel
