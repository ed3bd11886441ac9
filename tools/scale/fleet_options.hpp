#pragma once
// The options of a fleet run, and where its processes listen.
#include "scale/plan.hpp"

namespace mosskeel::scale {

struct FleetOptions {
  Plan plan;
  /// The folder for the report, the daemons' data and their logs.
  std::string output_folder;
  /// Where the daemons' programs are.
  std::string program_folder;
  int first_port = 30000;
  /// Changes of the configuration, and restarts in a row.
  int changes = 10;
  int restarts = 130;
  int daemons_per_process = 8;
};

/// Offsets from the first port. The real daemons come first.
constexpr int kClientPortOffset = 90;
constexpr int kHollowPortOffset = 100;
/// Where a hollow daemon's gateway would listen.
constexpr int kGatewayPortOffset = 600;

inline Address local_address(const FleetOptions& options, int port_offset) {
  return "127.0.0.1:" + std::to_string(options.first_port + port_offset);
}

/// The fleet's HTTP addresses take every other port, so the controllers' own are the even ones.
inline Address controller_address(const FleetOptions& options, int number) {
  return local_address(options, 2 * number);
}

/// A clock that all processes of this machine share.
TimePoint machine_now();

/// The digest by which two processes compare their metadata.
std::string fingerprint(const Metadata& metadata);

}  // namespace mosskeel::scale
