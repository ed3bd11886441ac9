#include "scale/simulated_fleet.hpp"

#include <time.h>

#include <algorithm>

#include "consensus/controller_machine.hpp"
#include "history/constants.hpp"
#include "replication/agent_machine.hpp"

namespace mosskeel::scale {
namespace {

int64_t thread_cpu_nanoseconds() {
  timespec time;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<int64_t>(time.tv_sec) * 1000000000 + time.tv_nsec;
}

bool has_disk(ProcessKind kind) {
  return kind == ProcessKind::controller || kind == ProcessKind::store;
}

std::unique_ptr<StateMachine> make_machine(const ProcessSpec& spec, const Recovered& recovered, TimePoint now) {
  switch (spec.kind) {
    case ProcessKind::controller:
      return std::make_unique<ControllerMachine>(spec.identity, recovered, now);
    case ProcessKind::store:
      return std::make_unique<StoreMachine>(spec.identity, recovered, now);
    case ProcessKind::agent:
      return std::make_unique<AgentMachine>(spec.identity, now);
    case ProcessKind::gateway:
      return std::make_unique<GatewayMachine>(spec.identity, now);
  }
  return nullptr;
}

}  // namespace

SimulatedFleet::SimulatedFleet(const Plan& plan, uint64_t seed, const StoredPartitions& histories) : random_(seed) {
  auto specs = fleet_processes(plan, seed);
  auto metadata = metadata_at_rest(plan, specs);
  ControllerCheckpoint controller_checkpoint{
      .metadata = metadata, .recent = {}, .open = next(metadata.epoch), .promised = {}, .accepted = std::nullopt};
  StoreCheckpoint store_checkpoint{.metadata = metadata, .partitions = histories, .uptime = 2 * kRepairMinimumAge};
  auto controller_bytes = codec::encode(controller_checkpoint);
  auto store_bytes = codec::encode(store_checkpoint);
  processes_.resize(specs.size());
  for (size_t index = 0; index < specs.size(); ++index) {
    auto& process = processes_[index];
    process.spec = specs[index];
    if (process.spec.kind == ProcessKind::controller)
      process.checkpoint = controller_bytes;
    if (process.spec.kind == ProcessKind::store)
      process.checkpoint = store_bytes;
    index_by_address_[process.spec.identity.self.address] = index;
  }
  digest_by_epoch_[metadata.epoch] = digest(codec::encode(metadata));
  for (size_t index = 0; index < specs.size(); ++index)
    start(index);
}

SimulatedProcess& SimulatedFleet::process(ProcessKind kind, size_t number) {
  return processes_.at(indices_of(kind).at(number));
}

std::vector<size_t> SimulatedFleet::indices_of(ProcessKind kind) const {
  std::vector<size_t> indices;
  for (size_t index = 0; index < processes_.size(); ++index) {
    if (processes_[index].spec.kind == kind)
      indices.push_back(index);
  }
  return indices;
}

void SimulatedFleet::start(size_t index, bool new_incarnation) {
  auto& process = processes_[index];
  if (process.machine)
    return;
  auto& identity = process.spec.identity;
  if (new_incarnation && !has_disk(process.spec.kind))
    identity.self.incarnation = Incarnation{random_()};
  identity.random_seed = random_();
  process.run_number = ++last_run_number_;
  process.known_epoch = {};
  Recovered recovered{identity.self.incarnation, process.checkpoint, process.synced_records};
  process.machine = make_machine(process.spec, recovered, now_);
  auto first_tick = now_ + Duration(random_() % static_cast<uint64_t>(kTickInterval.count()));
  schedule(first_tick, [this, index, run_number = process.run_number] { tick(index, run_number); });
}

void SimulatedFleet::stop(size_t index) {
  auto& process = processes_[index];
  process.machine.reset();
  process.pending_writes.clear();
  process.writes_in_sync = 0;
  process.run_number = ++last_run_number_;
}

void SimulatedFleet::schedule(TimePoint when, std::function<void()> action) {
  events_[when].push_back({.action = std::move(action), .receiver = 0, .message = nullptr});
}

void SimulatedFleet::run(Duration duration) {
  run_until(duration, [] { return false; });
}

bool SimulatedFleet::run_until(Duration duration, const std::function<bool()>& condition) {
  auto end = now_ + duration;
  while (!events_.empty() && events_.begin()->first <= end) {
    if (condition())
      return true;
    now_ = std::max(now_, events_.begin()->first);
    // An event may add further ones for this same time, so the list may grow under the loop.
    auto& due = events_.begin()->second;
    for (size_t index = 0; index < due.size(); ++index) {
      auto event = std::move(due[index]);
      execute(event);
    }
    events_.erase(events_.begin());
  }
  now_ = end;
  return condition();
}

void SimulatedFleet::execute(const Event& event) {
  if (event.action) {
    event.action();
    return;
  }
  auto& process = processes_[event.receiver];
  if (!process.machine)
    return;
  perform(process, timed(process, [&] { return process.machine->step(*event.message, now_); }));
}

void SimulatedFleet::deliver_locally(size_t index, Envelope message) {
  auto shared_message = std::make_shared<const Envelope>(std::move(message));
  events_[now_].push_back({.action = nullptr, .receiver = index, .message = std::move(shared_message)});
}

void SimulatedFleet::tick(size_t index, uint64_t run_number) {
  auto& process = processes_[index];
  if (process.run_number != run_number || !process.machine)
    return;
  perform(process, timed(process, [&] { return process.machine->tick(now_); }));
  schedule(now_ + kTickInterval, [this, index, run_number] { tick(index, run_number); });
}

template <class Step>
Actions SimulatedFleet::timed(SimulatedProcess& process, Step step) {
  auto begun = thread_cpu_nanoseconds();
  auto actions = step();
  process.counters.cpu_nanoseconds += thread_cpu_nanoseconds() - begun;
  return actions;
}

void SimulatedFleet::perform(SimulatedProcess& process, Actions actions) {
  note_epoch(process);
  for (auto& message : actions.now)
    send(process, std::move(message));
  bool nothing_to_wait_for = actions.journal.empty() && !actions.checkpoint && process.pending_writes.empty();
  if (!has_disk(process.spec.kind) || nothing_to_wait_for) {
    for (auto& message : actions.synced)
      send(process, std::move(message));
  } else if (!actions.journal.empty() || !actions.synced.empty() || actions.checkpoint) {
    write(process, actions);
  }
  if (actions.stop)
    stop(index_of(process));
}

void SimulatedFleet::note_epoch(SimulatedProcess& process) {
  auto view = process.machine->view();
  if (view->epoch == process.known_epoch)
    return;
  const auto& spec = process.spec;
  if (view->epoch < process.known_epoch)
    failures.push_back(spec.identity.self.address + " went back in epochs");
  process.known_epoch = view->epoch;
  if (spec.kind == ProcessKind::gateway) {
    if (on_gateway_epoch)
      on_gateway_epoch(process, process.known_epoch);
    return;
  }
  // Encoding the value is slow, so only the controllers and one zone's stores are compared.
  if (spec.kind == ProcessKind::controller || (spec.kind == ProcessKind::store && spec.zone == 0))
    check_value(process, *view);
}

void SimulatedFleet::check_value(const SimulatedProcess& process, const Metadata& metadata) {
  auto value_digest = digest(codec::encode(metadata));
  auto [known, is_first] = digest_by_epoch_.emplace(metadata.epoch, value_digest);
  if (!is_first && known->second != value_digest) {
    failures.push_back(process.spec.identity.self.address + " holds another value at epoch " +
                       std::to_string(metadata.epoch.value()));
  }
}

void SimulatedFleet::write(SimulatedProcess& process, Actions& actions) {
  for (const auto& record : actions.journal)
    process.counters.journal_bytes += record.size();
  if (actions.checkpoint) {
    ++process.counters.checkpoints;
    process.counters.checkpoint_bytes += actions.checkpoint->size();
  }
  process.pending_writes.push_back({.journal = std::move(actions.journal),
                                    .checkpoint = std::move(actions.checkpoint),
                                    .messages = std::move(actions.synced)});
  if (process.writes_in_sync == 0)
    begin_sync(process);
}

void SimulatedFleet::begin_sync(SimulatedProcess& process) {
  process.writes_in_sync = process.pending_writes.size();
  schedule(now_ + kSyncDuration, [this, index = index_of(process), run_number = process.run_number] {
    auto& same_process = processes_[index];
    if (same_process.run_number == run_number && same_process.machine)
      finish_sync(same_process);
  });
}

void SimulatedFleet::finish_sync(SimulatedProcess& process) {
  ++process.counters.syncs;
  std::vector<Envelope> messages;
  for (; process.writes_in_sync > 0; --process.writes_in_sync) {
    auto written = std::move(process.pending_writes.front());
    process.pending_writes.pop_front();
    for (auto& record : written.journal)
      process.synced_records.push_back(std::move(record));
    if (written.checkpoint) {
      process.checkpoint = std::move(written.checkpoint);
      process.synced_records.clear();
    }
    for (auto& message : written.messages)
      messages.push_back(std::move(message));
  }
  if (!process.pending_writes.empty())
    begin_sync(process);
  for (auto& message : messages)
    send(process, std::move(message));
}

void SimulatedFleet::reset_counters() {
  for (auto& process : processes_)
    process.counters = {};
}

Counters SimulatedFleet::sum(ProcessKind kind) const {
  Counters sum;
  for (const auto& process : processes_) {
    if (process.spec.kind == kind)
      sum += process.counters;
  }
  return sum;
}

bool SimulatedFleet::all_gateways_ready() {
  return std::all_of(processes_.begin(), processes_.end(), [&](const SimulatedProcess& process) {
    if (process.spec.kind != ProcessKind::gateway || !process.machine)
      return true;
    return static_cast<GatewayMachine&>(*process.machine).ready(now_);
  });
}

}  // namespace mosskeel::scale
