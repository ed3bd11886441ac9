#include "soak/fault_player.hpp"

#include <cstdio>

namespace mosskeel::soak {

namespace {

constexpr Duration kEndPollInterval = 20ms;
/// Signals of a series, and the time between two: through a whole start, and into a stop.
constexpr int kSeriesSignals = 30;
constexpr Duration kSeriesInterval = 2ms;
constexpr Duration kStopSeriesInterval = 150ms;
/// What slow replicas need for a request: from a moment to nearly the route's time.
constexpr uint64_t kMaxSlowWorkMs = 5300;

}  // namespace

void RunRecord::write(const std::string& event) {
  if (!file_.is_open())
    return;
  char time[32];
  snprintf(time, sizeof time, "%9.3f ", seconds(monotonic_now()));
  file_ << time << event << "\n" << std::flush;
}

FaultPlayer::FaultPlayer(FleetUnderTest& fleet, RunRecord& record, uint64_t seed, const std::set<FaultKind>& only)
    : fleet_(fleet), record_(record) {
  for (auto lane : kLanes) {
    FaultSchedule schedule(lane, seed, only, fleet.environment.addresses.size);
    if (!schedule.is_empty())
      lanes_.push_back(std::move(schedule));
  }
}

void FaultPlayer::begin(MonotonicTime end) {
  end_ = end;
  for (auto& lane : lanes_)
    schedule_next(lane);
}

void FaultPlayer::schedule_next(FaultSchedule& lane) {
  fleet_.environment.loop.run_after(lane.next_pause(), [this, &lane] {
    if (monotonic_now() >= end_)
      return;
    ++under_way_;
    play(lane.next(), [this, &lane] {
      --under_way_;
      schedule_next(lane);
    });
  });
}

void FaultPlayer::play(const Fault& fault, OnOver on_over) {
  ++counts_[fault.kind];
  record_.write(std::string("fault   ") + name(fault.kind) +
                (concerns_machine(fault.kind) ? " of " + soak::name(fault.machine) : std::string()) + ", " +
                std::to_string(fault.duration.count()) + " ms");
  switch (fault.kind) {
    case FaultKind::restart:
      return restart(fault, std::move(on_over));
    case FaultKind::kill:
    case FaultKind::disk_loss:
      return kill(fault, std::move(on_over));
    case FaultKind::freeze:
      return freeze(fault, std::move(on_over));
    case FaultKind::hangup:
      fleet_.machines.send_signal(fault.machine, SIGHUP);
      return on_over();
    case FaultKind::overlapping_restart:
      return restart_overlapping(fault, std::move(on_over));
    case FaultKind::instant_restart:
      return restart_instantly(fault, std::move(on_over));
    case FaultKind::early_hangups:
      return hang_up_early(fault, std::move(on_over));
    case FaultKind::stop_series:
      return stop_in_series(fault, std::move(on_over));
    case FaultKind::change:
      return fleet_.fleet_operator.revise(std::move(on_over));
    case FaultKind::race:
      return fleet_.fleet_operator.race(std::move(on_over));
    case FaultKind::invalid_change:
      return fleet_.fleet_operator.try_invalid(std::move(on_over));
    case FaultKind::evacuation:
      return evacuate(fault, std::move(on_over));
    case FaultKind::slow_replicas:
      return slow_down(fault, std::move(on_over));
  }
}

void FaultPlayer::after(const Fault& fault, std::function<void()> function) {
  fleet_.environment.loop.run_after(fault.duration, std::move(function));
}

void FaultPlayer::restart(const Fault& fault, OnOver on_over) {
  auto now = monotonic_now();
  fleet_.troubles.on_stop_requested(fault.machine, now);
  fleet_.machines.send_signal(fault.machine, SIGTERM);
  await_end(fault.machine, now + kShutdownGrace, std::move(on_over));
}

void FaultPlayer::await_end(MachineId machine, MonotonicTime kill_at, OnOver on_over) {
  bool is_killed = monotonic_now() >= kill_at;
  if (!is_killed && fleet_.machines.is_running(machine)) {
    fleet_.environment.loop.run_after(kEndPollInterval,
                                      [this, machine, kill_at, on_over = std::move(on_over)]() mutable {
                                        await_end(machine, kill_at, std::move(on_over));
                                      });
    return;
  }
  if (fleet_.machines.is_running(machine))
    report_kill_at_end_of_grace(machine);
  fleet_.machines.kill(machine);
  record_.write("start   " + soak::name(machine));
  fleet_.machines.start(machine);
  on_over();
}

void FaultPlayer::kill(const Fault& fault, OnOver on_over) {
  fleet_.troubles.on_trouble_begun(fault.machine, monotonic_now());
  fleet_.machines.kill(fault.machine);
  if (fault.kind == FaultKind::disk_loss)
    fleet_.machines.lose_disk(fault.machine);
  after(fault, [this, machine = fault.machine, on_over = std::move(on_over)] {
    record_.write("start   " + soak::name(machine));
    fleet_.machines.start(machine);
    fleet_.troubles.on_trouble_ended(machine, monotonic_now());
    on_over();
  });
}

void FaultPlayer::freeze(const Fault& fault, OnOver on_over) {
  fleet_.troubles.on_trouble_begun(fault.machine, monotonic_now());
  fleet_.machines.send_signal(fault.machine, SIGSTOP);
  after(fault, [this, machine = fault.machine, on_over = std::move(on_over)] {
    record_.write("wake    " + soak::name(machine));
    fleet_.machines.send_signal(machine, SIGCONT);
    fleet_.troubles.on_trouble_ended(machine, monotonic_now());
    on_over();
  });
}

void FaultPlayer::report_kill_at_end_of_grace(MachineId machine) {
  record_.write("kill    " + soak::name(machine) + " at the end of its grace");
  fleet_.environment.checker.report_violation(soak::name(machine) + " has not ended at the end of the grace");
}

void FaultPlayer::restart_overlapping(const Fault& fault, OnOver on_over) {
  auto now = monotonic_now();
  fleet_.troubles.on_stop_requested(fault.machine, now);
  fleet_.machines.send_signal(fault.machine, SIGTERM);
  fleet_.machines.start(fault.machine);
  await_older(fault.machine, now + kShutdownGrace, std::move(on_over));
}

void FaultPlayer::await_older(MachineId machine, MonotonicTime kill_at, OnOver on_over) {
  if (monotonic_now() < kill_at && fleet_.machines.has_older(machine)) {
    fleet_.environment.loop.run_after(kEndPollInterval,
                                      [this, machine, kill_at, on_over = std::move(on_over)]() mutable {
                                        await_older(machine, kill_at, std::move(on_over));
                                      });
    return;
  }
  if (fleet_.machines.kill_older(machine))
    report_kill_at_end_of_grace(machine);
  on_over();
}

void FaultPlayer::restart_instantly(const Fault& fault, OnOver on_over) {
  fleet_.troubles.on_trouble_begun(fault.machine, monotonic_now());
  fleet_.machines.kill_without_waiting(fault.machine);
  fleet_.machines.start(fault.machine);
  fleet_.troubles.on_trouble_ended(fault.machine, monotonic_now());
  on_over();
}

void FaultPlayer::hang_up_early(const Fault& fault, OnOver on_over) {
  fleet_.troubles.on_trouble_begun(fault.machine, monotonic_now());
  fleet_.machines.kill(fault.machine);
  fleet_.machines.start(fault.machine);
  fleet_.troubles.on_trouble_ended(fault.machine, monotonic_now());
  continue_hangups(fault.machine, kSeriesSignals, std::move(on_over));
}

void FaultPlayer::continue_hangups(MachineId machine, int left, OnOver on_over) {
  if (fleet_.machines.have_begun(machine)) {
    fleet_.machines.send_signal(machine, SIGHUP);
    --left;
  }
  if (left == 0)
    return on_over();
  fleet_.environment.loop.run_after(kSeriesInterval, [this, machine, left, on_over = std::move(on_over)]() mutable {
    continue_hangups(machine, left, std::move(on_over));
  });
}

void FaultPlayer::stop_in_series(const Fault& fault, OnOver on_over) {
  auto now = monotonic_now();
  fleet_.troubles.on_stop_requested(fault.machine, now);
  Duration delay{};
  auto starts = fleet_.machines.starts(fault.machine);
  for (int signal_number : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
    fleet_.environment.loop.run_after(delay, [this, machine = fault.machine, starts, signal_number] {
      // None is meant for the next process.
      if (fleet_.machines.starts(machine) == starts)
        fleet_.machines.send_signal(machine, signal_number);
    });
    delay += kStopSeriesInterval;
  }
  await_end(fault.machine, now + kShutdownGrace, std::move(on_over));
}

void FaultPlayer::evacuate(const Fault& fault, OnOver on_over) {
  const auto& zone = platform_stub::kZoneNames[static_cast<size_t>(fault.machine.index)];
  fleet_.fleet_operator.evacuate(zone, [this, fault, zone, on_over = std::move(on_over)] {
    after(fault, [this, zone, on_over] {
      fleet_.fleet_operator.restore(zone);
      on_over();
    });
  });
}

void FaultPlayer::slow_down(const Fault& fault, OnOver on_over) {
  fleet_.set_slow_execution_time(Duration(fleet_.environment.random_below(kMaxSlowWorkMs)));
  after(fault, [this, on_over = std::move(on_over)] {
    fleet_.set_slow_execution_time(0ms);
    on_over();
  });
}

}  // namespace mosskeel::soak
