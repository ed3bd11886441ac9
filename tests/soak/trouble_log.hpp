#pragma once
// What has happened to the machines of the fleet, and which lost responses that excuses.
#include <map>
#include <vector>

#include "net/event_loop.hpp"
#include "soak/machines.hpp"

namespace mosskeel::soak {

// The bounds of the fleet under test, as a platform would name them in the settings.
/// From SIGTERM to SIGKILL.
inline constexpr Duration kShutdownGrace = 8000ms;
/// A machine is in touch so long after its last unplanned trouble.
inline constexpr Duration kContactTime = 3000ms;
/// A machine with a disk counts as lost for so long after it is back.
inline constexpr Duration kCatchUpTime = 4300ms;
/// Service is back so long after the last loss.
inline constexpr Duration kRecoveryTime = 12000ms;

/// Keeps the troubles of a run, by machine.
///
/// Planned work, a SIGTERM, excuses a lost response only where its request was sent early in the stop and its replica
/// was still at work near the end of the grace. Unplanned trouble of the machine that took the request excuses what it
/// overlaps, and what was sent before the machine was in touch again.
class TroubleLog {
 public:
  void on_stop_requested(MachineId machine, MonotonicTime at) { stops_[machine].push_back(at); }
  /// A kill or a freeze, until the machine runs again.
  void on_trouble_begun(MachineId machine, MonotonicTime at) { troubles_[machine].push_back({at, std::nullopt}); }
  void on_trouble_ended(MachineId machine, MonotonicTime at) { troubles_[machine].back().end = at; }

  /// Whether a request that the machine took may have lost its response though a replica has executed it.
  bool excuses_loss(MachineId machine, MonotonicTime sent_at, MonotonicTime lost_at) const;

 private:
  struct Trouble {
    MonotonicTime begin{};
    /// Nothing while it lasts.
    std::optional<MonotonicTime> end;
  };
  std::map<MachineId, std::vector<MonotonicTime>> stops_;
  std::map<MachineId, std::vector<Trouble>> troubles_;
};

}  // namespace mosskeel::soak
