#pragma once
// A daemon's settings: a JSON file, flags over it, all findings at once.
#include <boost/hana/define_struct.hpp>

#include "base/address.hpp"

namespace mosskeel {

/// `ready` is where a gateway tells if it is ready, empty for its own HTTP; `dialect` names the plug-in that
/// speaks for a platform, empty for the product's own interface; `list` is where the replicas are listed;
/// `later_start` forbids founding; `core_most` and `copies` as in `FoundCluster`;
/// `tolerated_machines` and `tolerated_zones` are what may be lost at once.
struct Settings {
  BOOST_HANA_DEFINE_STRUCT(Settings, (std::string, listen), (std::string, http), (std::string, agent),
                           (std::string, zone), (std::vector<std::string>, seeds), (std::string, data),
                           (uint32_t, core_size), (int64_t, tcm_await_ms), (int64_t, tcm_rpc_ms),
                           (std::string, machine), (std::string, ready), (std::string, dialect), (std::string, list),
                           (bool, later_start), (uint32_t, core_most), (uint32_t, copies),
                           (uint32_t, tolerated_machines), (uint32_t, tolerated_zones));
  static std::set<std::string> optional_fields() {
    return {"listen",
            "http",
            "agent",
            "zone",
            "seeds",
            "data",
            "core_size",
            "tcm_await_ms",
            "tcm_rpc_ms",
            "machine",
            "ready",
            "dialect",
            "list",
            "later_start",
            "core_most",
            "copies",
            "tolerated_machines",
            "tolerated_zones"};
  }
};

/// What a program needs of the settings.
struct Needs {
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
struct SettingsEnrolled {
  explicit SettingsEnrolled(const SettingsSource* s);
};

/// Which of a machine's ports for daemons a program listens on, counted from the first of them.
uint16_t port_offset(const std::string& program);

/// Reads flags and file, or a source that applies where no flag gives settings; prints help, version or findings
/// itself and then gives an exit code. Settings of a source may leave out HTTP, and their core may have an even size.
std::variant<Settings, int> read_settings(int argc, const char** argv, const Needs& n);

uint64_t dice();
/// Blocks SIGTERM, SIGINT and SIGHUP for all threads started later; SIGHUP changes nothing here, for a daemon follows
/// the directory and not its settings file once it has started.
void hold_signals();
/// Waits for one of them; true once it came.
bool signalled(Millis wait);

}  // namespace mosskeel
