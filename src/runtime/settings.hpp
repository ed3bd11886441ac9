#pragma once
// A daemon's settings: a JSON file, command-line flags over it, all errors at once.
#include "base/address.hpp"
#include "mosskeel/common.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

/// How long a graceful stop may take on a platform whose settings do not say it.
constexpr Duration kDefaultShutdownGrace = 8000ms;
/// The same where no platform kills the process: a turn may take 60 s, and its outcome a while to be kept.
constexpr Duration kUnforcedShutdownGrace = 70000ms;

/// A daemon's settings, as it uses them. Addresses are "IP:port".
struct Settings {
  /// Where other daemons reach this one.
  std::string listen_address;
  /// Where this daemon serves HTTP: callers, operators or metrics, by program.
  std::string http_address;
  /// A gateway's agent, or an agent's gateway.
  std::string agent_address;
  /// The zone of this machine.
  std::string zone;
  /// Controllers, for the first contact only.
  std::vector<std::string> seeds;
  /// The folder in which a controller or a store keeps its data.
  std::string data_directory;
  /// How many controllers make the core at the founding.
  uint32_t core_size = 0;
  /// How long a commit may take as a whole, all attempts included.
  Duration commit_timeout = kCommitTimeout;
  /// How long one controller may work on one commit request.
  Duration commit_attempt_timeout = kCommitAttemptTimeout;
  /// The machine's name.
  std::string machine;
  /// Where a gateway tells whether it is ready; empty for its own HTTP.
  std::string readiness_address;
  /// Names the platform's protocol codec and control protocol; empty for the product's own interface.
  std::string platform_protocol;
  /// Where the platform lists the replicas; empty where no list is read.
  std::string replica_list_address;
  /// Whether this start must not found a cluster.
  bool forbid_founding = false;
  /// Controllers; the size up to which the core grows, 0 for the default.
  uint32_t max_core_size = 0;
  /// Stores that keep a history; 0 where it follows from the tolerated losses.
  uint32_t replication_factor = 0;
  /// Machines that may be lost at once.
  uint32_t tolerated_machines = 0;
  /// Zones that may be lost at once.
  uint32_t tolerated_zones = 0;
  /// Gateways; how long after SIGTERM the process may be killed.
  Duration shutdown_grace = kUnforcedShutdownGrace;
};

/// What a program needs of the settings.
struct RequiredSettings {
  const char* program;
  const char* purpose;
  bool listen, http, agent, zone, seeds, data, core_size;
};

/// Settings that come neither by flags nor by the product's own file; a plug-in that registers itself.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// Whether this process was started with such settings.
  virtual bool applies() const = 0;
  virtual Result<Settings> read(const std::string& program) const = 0;
};

/// A static object of this type puts a source into the registry.
struct SettingsSourceRegistration {
  explicit SettingsSourceRegistration(const SettingsSource* source);
};

/// Which of a machine's ports for daemons a program listens on, counted from the first of them.
uint16_t port_offset(const std::string& program);

/// Reads flags and file, or a source that applies where no flag gives settings; prints help, version or errors
/// itself and then gives an exit code. Settings of a source may leave out HTTP, and their core may have an even size.
std::variant<Settings, int> read_settings(int argc, const char** argv, const RequiredSettings& needs);

/// A random number from the operating system, for ids and seeds.
uint64_t random_number();

}  // namespace mosskeel
