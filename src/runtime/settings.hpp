#pragma once
// A daemon's settings: a JSON file, command-line flags over it, all errors at once.
#include "base/fields.hpp"

#include "base/address.hpp"

namespace mosskeel {

/// Field names are the names in the JSON file. Addresses are "IP:port", times in ms.
///
/// `listen` is for other daemons; `agent` is a gateway's agent, or an agent's gateway; `seeds` are controllers;
/// `ready` is where a gateway tells if it is ready, empty for its own HTTP; `dialect` names the protocol codec that
/// speaks for a platform, empty for the product's own interface; `list` is where the replicas are listed;
/// `later_start` forbids founding; `core_most` and `copies` are the largest core and the number of stores that keep a
/// history, 0 for the default; `tolerated_machines` and `tolerated_zones` are what may be lost at once.
struct Settings {
  MOSSKEEL_FIELDS(Settings, (std::string, listen), (std::string, http), (std::string, agent), (std::string, zone),
                  (std::vector<std::string>, seeds), (std::string, data), (uint32_t, core_size),
                  (int64_t, tcm_await_ms), (int64_t, tcm_rpc_ms), (std::string, machine), (std::string, ready),
                  (std::string, dialect), (std::string, list), (bool, later_start), (uint32_t, core_most),
                  (uint32_t, copies), (uint32_t, tolerated_machines), (uint32_t, tolerated_zones));
  /// Every field may be left out of the file.
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
