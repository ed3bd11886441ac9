#pragma once
// Brings disturbances about, lane beside lane, while traffic goes on.
#include <fstream>

#include "soak/fault_schedule.hpp"
#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

/// Writes what happened to a file, a line an event, with the time since the run began.
class RunRecord {
 public:
  /// @param path empty for no record.
  explicit RunRecord(const std::string& path) : begin_(monotonic_now()) {
    if (!path.empty())
      file_.open(path);
  }
  void write(const std::string& event);
  /// Seconds since the run began.
  double seconds(MonotonicTime at) const { return std::chrono::duration<double>(at - begin_).count(); }

 private:
  const MonotonicTime begin_;
  std::ofstream file_;
};

/// Plays the lanes of a seed. Everything happens on the event loop of the fleet.
class FaultPlayer {
 public:
  FaultPlayer(FleetUnderTest& fleet, RunRecord& record, uint64_t seed, const std::set<FaultKind>& only);
  /// Begins all lanes; after `end` none begins another disturbance.
  void begin(MonotonicTime end);
  /// Whether no disturbance is under way.
  bool is_idle() const { return under_way_ == 0; }
  /// How many disturbances there were, by kind.
  const std::map<FaultKind, int>& counts() const { return counts_; }

 private:
  using OnOver = std::function<void()>;
  void schedule_next(FaultSchedule& lane);
  void play(const Fault& fault, OnOver on_over);
  void restart(const Fault& fault, OnOver on_over);
  /// Waits for the end of a machine that was told to stop, kills it after the grace, and starts it again.
  void await_end(MachineId machine, MonotonicTime kill_at, OnOver on_over);
  void kill(const Fault& fault, OnOver on_over);
  void freeze(const Fault& fault, OnOver on_over);
  void restart_overlapping(const Fault& fault, OnOver on_over);
  /// Waits for the end of the processes before the newest ones, and kills them after the grace.
  void await_older(MachineId machine, MonotonicTime kill_at, OnOver on_over);
  void restart_instantly(const Fault& fault, OnOver on_over);
  void hang_up_early(const Fault& fault, OnOver on_over);
  /// Waits until the programs run, then sends what is left of a series of SIGHUP.
  void continue_hangups(MachineId machine, int left, OnOver on_over);
  void stop_in_series(const Fault& fault, OnOver on_over);
  void report_kill_at_end_of_grace(MachineId machine);
  void evacuate(const Fault& fault, OnOver on_over);
  void slow_down(const Fault& fault, OnOver on_over);
  /// Calls the function once the fault's time is over.
  void after(const Fault& fault, std::function<void()> function);

  FleetUnderTest& fleet_;
  RunRecord& record_;
  std::vector<FaultSchedule> lanes_;
  MonotonicTime end_{};
  int under_way_ = 0;
  std::map<FaultKind, int> counts_;
};

}  // namespace mosskeel::soak
