#pragma once
// The experiments of `scale slopes`: each gives the figures of one size and one seed.
#include "scale/plan.hpp"

namespace mosskeel::scale {

class SimulatedFleet;

/// The figures of one run of one experiment.
struct Measurement {
  std::string experiment;
  double size = 0;
  uint64_t seed = 0;
  /// Figures that are the same in every run with the same seed, by name.
  std::map<std::string, double> counts;
  /// Processor times, which differ from run to run, by name.
  std::map<std::string, double> times;
};

/// After its start until a simulated fleet is calm: heartbeats, leases and repairs take turns.
constexpr Duration kSettlingTime = 4000ms;
/// Holds whole numbers of the periods of all that repeats.
constexpr Duration kMeasuringWindow = 3000ms;
/// Bytes of the text of a turn. In and out together are 1440 tokens of four bytes, a 250th of 360,000 tokens.
constexpr size_t kTurnInputBytes = 1200;
constexpr size_t kTurnOutputBytes = 4560;
/// Tokens of a turn's output.
constexpr uint64_t kTurnOutputTokens = 1140;

/// A fleet at rest, per process and second.
Measurement fleet_at_rest(const Plan& plan, uint64_t seed, double size);
/// One change of the configuration, from its commit until it is in force everywhere.
Measurement configuration_change(const Plan& plan, uint64_t seed, double size);
/// The metadata value itself: bytes of each field, memory, processor time to apply, encode, decode and search it.
Measurement metadata_value(const Plan& plan, uint64_t seed, double size);
/// Choosing a replica for one request.
Measurement replica_selection(const Plan& plan, uint64_t seed, double size);
/// `programs` conversations at once, each of `turns` turns; the figures are those of the last five turns of each.
Measurement conversations(int programs, int turns, uint64_t seed, double size);
/// Stores at rest that hold so many histories of so many turns.
Measurement stored_histories(int histories, int turns, uint64_t seed, double size);
/// A gateway that comes new, until it has joined.
Measurement new_gateway(const Plan& plan, uint64_t seed, double size);
/// So many gateways restarted one after the other.
Measurement gateway_restarts(const Plan& plan, int count, uint64_t seed, double size);
/// A zone that fails as a whole and comes back.
Measurement zone_failure(const Plan& plan, uint64_t seed, double size);
/// `changes` changes are committed while the network between the regions is cut.
Measurement region_partition(const Plan& plan, int changes, uint64_t seed, double size);

/// A time as a figure of the report.
inline double as_milliseconds(Duration duration) {
  return static_cast<double>(duration.count());
}
inline double as_seconds(Duration duration) {
  return as_milliseconds(duration) / 1000;
}

/// The row of the capacity page's table of counts for a fleet of so many daemons.
std::string capacity_page_row(int daemons, uint64_t seed);

/// Counts the invariants that the fleet broke, and prints them to standard error.
void add_failures(Measurement& measurement, const SimulatedFleet& fleet);

}  // namespace mosskeel::scale
