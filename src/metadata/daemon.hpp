#pragma once
// The daemons of a cluster, as they are recorded in the metadata's directory.
#include <algorithm>

#include "base/fields.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

enum class Role : uint8_t { controller, gateway, store };

/// `registered`: in the directory, but not in service yet. `up`: in service. `draining`: its partitions are being moved
/// away. `down`: a majority of the controllers misses its heartbeats. `left`: permanently removed, counts in no quorum.
enum class DaemonState : uint8_t { registered, up, draining, down, left };

const char* name(Role role);
const char* name(DaemonState state);

/// Whether `id` is one of `ids`.
inline bool contains(const std::vector<DaemonId>& ids, DaemonId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// A daemon's description of itself, used before and after it is registered in the log. The order of the fields is the
/// format on the wire and on disk.
struct DaemonInfo {
  /// `agent_address` is set only for a gateway, whose agent receives messages on its behalf. `http_address` is empty if
  /// the daemon does not serve HTTP.
  MOSSKEEL_FIELDS(DaemonInfo, (Incarnation, incarnation), (Role, role), (std::string, zone), (Address, address),
                  (Address, agent_address), (Address, http_address), (std::string, machine));
  bool operator==(const DaemonInfo&) const = default;
};

/// A directory entry; `since` is the epoch of the last change of `state`.
struct Daemon {
  MOSSKEEL_FIELDS(Daemon, (DaemonId, id), (DaemonInfo, self), (DaemonState, state), (Epoch, since));
  bool operator==(const Daemon&) const = default;
};

/// All daemons that have ever registered. Daemons that have left are kept, so that an id is never reused.
using Directory = std::map<DaemonId, Daemon>;

}  // namespace mosskeel
