#pragma once
// Which disturbances a run brings about, and when: drawn from a seed, inside what a deployment must bear at once.
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak/trouble_log.hpp"

namespace mosskeel::soak {

enum class FaultKind {
  /// SIGTERM, SIGKILL at the end of the grace, and a start again.
  restart,
  /// SIGKILL and a start again.
  kill,
  /// SIGKILL, and a start with an empty disk.
  disk_loss,
  /// SIGSTOP and SIGCONT.
  freeze,
  /// SIGHUP, as after a change of the settings file.
  hangup,
  /// SIGTERM, and a start beside the process that still stops.
  overlapping_restart,
  /// SIGKILL, and a start that does not wait for the end.
  instant_restart,
  /// SIGKILL, a start, and SIGHUP again and again from its first moments on.
  early_hangups,
  /// SIGTERM and SIGHUP in a series, and a start again.
  stop_series,
  /// A change of the configuration.
  change,
  /// Two changes on top of one revision.
  race,
  /// A configuration that must be rejected.
  invalid_change,
  /// A zone is evacuated and taken back.
  evacuation,
  /// Replicas of the slow service need some seconds for each request.
  slow_replicas
};

/// All kinds, in the order of the enumeration.
inline constexpr FaultKind kFaultKinds[] = {
    FaultKind::restart,         FaultKind::kill,          FaultKind::disk_loss,
    FaultKind::freeze,          FaultKind::hangup,        FaultKind::overlapping_restart,
    FaultKind::instant_restart, FaultKind::early_hangups, FaultKind::stop_series,
    FaultKind::change,          FaultKind::race,          FaultKind::invalid_change,
    FaultKind::evacuation,      FaultKind::slow_replicas};

/// Whether it is something that happens to a machine.
bool concerns_machine(FaultKind kind);

/// As in "disk_loss".
const char* name(FaultKind kind);
/// The kind of that name, or nothing.
std::optional<FaultKind> fault_kind(const std::string& name);

/// One disturbance.
struct Fault {
  FaultKind kind = FaultKind::restart;
  /// Of the kinds that concern a machine.
  MachineId machine;
  /// How long the machine is away or frozen, the zone evacuated, the replicas slow.
  Duration duration{};
};

/// A series of disturbances that do not overlap each other, while those of other lanes do.
enum class Lane {
  /// Machines with a disk: one at a time, until the one before no longer counts as lost.
  counted,
  /// Two lanes of front machines, which may go in any number.
  first_front,
  other_fronts,
  /// Operators and replicas.
  operators
};

inline constexpr Lane kLanes[] = {Lane::counted, Lane::first_front, Lane::other_fronts, Lane::operators};

/// Draws the disturbances of one lane, one after the other.
class FaultSchedule {
 public:
  /// @param only the kinds that may be drawn; empty for all.
  FaultSchedule(Lane lane, uint64_t seed, const std::set<FaultKind>& only, const platform_stub::FleetSize& size);
  /// Whether the lane has any of the kinds that may be drawn.
  bool is_empty() const { return kinds_.empty(); }
  Fault next();
  /// From the end of one disturbance to the begin of the next.
  Duration next_pause();

 private:
  Duration draw(Duration least, Duration most);
  MachineId draw_machine();

  const Lane lane_;
  const platform_stub::FleetSize size_;
  std::mt19937_64 random_;
  std::vector<FaultKind> kinds_;
};

}  // namespace mosskeel::soak
