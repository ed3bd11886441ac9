#include "control/replica_poller.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "base/log.hpp"
#include "control/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {

using Clock = std::chrono::steady_clock;

/// Sleeps until `deadline`, or until a stop is requested.
void sleep_until(Clock::time_point deadline, const std::stop_token& stop) {
  std::mutex mutex;
  std::condition_variable_any condition;
  std::unique_lock lock(mutex);
  condition.wait_until(lock, stop, deadline, [] { return false; });
}

}  // namespace

ReplicaPoller::ReplicaPoller(ControllerAccess& controller, const ControlProtocol& protocol, Address address)
    : controller_(controller),
      client_(protocol, std::move(address)),
      thread_([this](const std::stop_token& stop) { run(stop); }) {}

void ReplicaPoller::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const auto next_poll = Clock::now() + kReplicaListPollInterval;
    poll(stop);
    sleep_until(next_poll, stop);
  }
}

void ReplicaPoller::poll(const std::stop_token& stop) {
  if (!holds_supervisor_lease()) {
    // Another controller polls in the meantime, so the state of this one's earlier polls becomes stale.
    reconciler_.reset();
    return;
  }
  auto replicas = client_.read(stop);
  if (!replicas.ok()) {
    log_event(Event::replica_list_unreadable, to_string(replicas.errors()));
    return;
  }
  auto metadata = view();
  if (!metadata)
    return;
  auto change = reconciler_.reconcile(metadata->replicas, replicas.value(), controller_.now());
  if (!change)
    return;
  auto reply = controller_.commit(*change, controller_.new_commit_id("list"), kCommitAttemptTimeout);
  if (reply.outcome != CommitOutcome::committed)
    log_event(Event::platform_request, describe(*change) + ": " + reply.reason);
}

bool ReplicaPoller::holds_supervisor_lease() {
  bool held = false;
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) { held = machine.is_supervisor(now); });
  return held;
}

MetadataSnapshot ReplicaPoller::view() {
  MetadataSnapshot view;
  controller_.inspect([&](ControllerMachine& machine, TimePoint) { view = machine.view(); });
  return view;
}

}  // namespace mosskeel
