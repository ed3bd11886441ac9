#pragma once
// A daemon's settings: read from a JSON file, overridden by command-line flags, with all errors reported together.
#include "base/address.hpp"
#include "mosskeel/common.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

/// Grace period of a shutdown on a platform whose settings do not specify one.
constexpr Duration kDefaultShutdownGrace = 8000ms;
/// Grace period of a shutdown if no platform kills the process: a turn may take 60 s, and storing its outcome takes
/// additional time.
constexpr Duration kUnforcedShutdownGrace = 70000ms;

/// A daemon's settings after parsing. Addresses are "IP:port".
struct Settings {
  /// Address for connections from other daemons.
  std::string listen_address;
  /// HTTP listen address; serves clients, operators or metrics, depending on the program.
  std::string http_address;
  /// Address of a gateway's agent, or of an agent's gateway.
  std::string agent_address;
  /// The zone of this machine.
  std::string zone;
  /// Addresses of controllers, used only for the first contact.
  std::vector<std::string> seeds;
  /// Data directory of a controller or a store.
  std::string data_directory;
  /// Number of controllers in the core when the cluster is founded.
  uint32_t core_size = 0;
  /// Timeout of a commit as a whole, including all attempts.
  Duration commit_timeout = kCommitTimeout;
  /// Timeout of one commit attempt on one controller.
  Duration commit_attempt_timeout = kCommitAttemptTimeout;
  /// The machine's name.
  std::string machine;
  /// Listen address of a gateway's readiness endpoint; empty to serve it at `http_address`.
  std::string readiness_address;
  /// Name of the platform's protocol codec and control protocol; empty for Mosskeel's own API.
  std::string platform_protocol;
  /// Address of the platform's replica list; empty if no list is read.
  std::string replica_list_address;
  /// Whether this daemon must not found a new cluster.
  bool forbid_founding = false;
  /// Number of controllers up to which the core grows; 0 for the default.
  uint32_t max_core_size = 0;
  /// Number of stores that keep each history; 0 to derive it from the tolerated losses.
  uint32_t replication_factor = 0;
  /// Number of machines whose simultaneous loss is tolerated.
  uint32_t tolerated_machines = 0;
  /// Number of zones whose simultaneous loss is tolerated.
  uint32_t tolerated_zones = 0;
  /// Bytes of memory that this process may use; 0 for as much as the machine has.
  size_t memory_limit = 0;
  /// Time after SIGTERM at which the process may be killed.
  Duration shutdown_grace = kUnforcedShutdownGrace;
};

/// The settings that a program requires.
struct RequiredSettings {
  const char* program;
  const char* purpose;
  bool listen, http, agent, zone, seeds, data, core_size;
};

/// Plug-in interface for settings that come from neither command-line flags nor Mosskeel's own file. Implementations
/// register themselves.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// Returns whether this source provides the settings of this process.
  virtual bool applies() const = 0;
  virtual Result<Settings> read(const std::string& program) const = 0;
};

/// Registers a source; define a static object of this type.
struct SettingsSourceRegistration {
  explicit SettingsSourceRegistration(const SettingsSource* source);
};

/// Returns the offset of a program's port within the machine's port range for daemons.
uint16_t port_offset(const std::string& program);

/// Reads the settings from command-line flags and a file, or from an applicable source if no flag gives settings.
/// Prints help, version or errors itself and then returns an exit code. Settings from a source may omit the HTTP
/// address and may have a core of even size.
std::variant<Settings, int> read_settings(int argc, const char** argv, const RequiredSettings& required);

/// Returns a random number from the operating system, for ids and seeds.
uint64_t random_number();

}  // namespace mosskeel
