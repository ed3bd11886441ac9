#pragma once
// Format of the JSON settings file of a daemon.
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {

/// The settings as they appear in the file; field names are the keys of the JSON object. Every field is optional and
/// defaults to zero or empty. Times are in milliseconds.
struct SettingsFile {
  MOSSKEEL_FIELDS(SettingsFile, (std::string, listen), (std::string, http), (std::string, agent), (std::string, zone),
                  (std::vector<std::string>, seeds), (std::string, data), (uint32_t, core_size),
                  (int64_t, tcm_await_ms), (int64_t, tcm_rpc_ms), (std::string, machine), (std::string, ready),
                  (std::string, dialect), (std::string, list), (bool, later_start), (uint32_t, core_most),
                  (uint32_t, copies), (uint32_t, tolerated_machines), (uint32_t, tolerated_zones),
                  (int64_t, shutdown_grace_ms), (uint32_t, memory_mb));
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
            "tolerated_zones",
            "shutdown_grace_ms",
            "memory_mb"};
  }
};

/// Converts the file's contents to settings. Times of 0 select the defaults.
inline Settings settings_from(const SettingsFile& file) {
  Settings settings;
  settings.listen_address = file.listen;
  settings.http_address = file.http;
  settings.agent_address = file.agent;
  settings.zone = file.zone;
  settings.seeds = file.seeds;
  settings.data_directory = file.data;
  settings.core_size = file.core_size;
  if (file.tcm_await_ms != 0)
    settings.commit_timeout = Duration(file.tcm_await_ms);
  if (file.tcm_rpc_ms != 0)
    settings.commit_attempt_timeout = Duration(file.tcm_rpc_ms);
  settings.machine = file.machine;
  settings.readiness_address = file.ready;
  settings.platform_protocol = file.dialect;
  settings.replica_list_address = file.list;
  settings.forbid_founding = file.later_start;
  settings.max_core_size = file.core_most;
  settings.replication_factor = file.copies;
  settings.tolerated_machines = file.tolerated_machines;
  settings.tolerated_zones = file.tolerated_zones;
  settings.memory_limit = size_t{file.memory_mb} << 20;
  if (file.shutdown_grace_ms != 0)
    settings.shutdown_grace = Duration(file.shutdown_grace_ms);
  return settings;
}

}  // namespace mosskeel
