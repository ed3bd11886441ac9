#pragma once
// The daemons of a cluster, as the directory of the metadata keeps them.
#include <algorithm>

#include "base/fields.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

enum class Role : uint8_t { controller, gateway, store };

/// `registered`: in the directory, without a share of the work yet. `up`: in service. `draining`: its partitions move
/// away. `down`: a majority of the controllers misses its heartbeats. `left`: for good; it counts nowhere any more.
enum class DaemonState : uint8_t { registered, up, draining, down, left };

const char* name(Role role);
const char* name(DaemonState state);

/// Whether `id` is one of `ids`.
inline bool contains(const std::vector<DaemonId>& ids, DaemonId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// How a daemon describes itself, before and after the log knows it.
/// The order of the fields is the format on the wire and on disk.
struct DaemonInfo {
  /// `agent_address` is set for a gateway only: its agent receives for it. `http_address` is empty without HTTP.
  MOSSKEEL_FIELDS(DaemonInfo, (Incarnation, incarnation), (Role, role), (std::string, zone), (Address, address),
                  (Address, agent_address), (Address, http_address), (std::string, machine));
  bool operator==(const DaemonInfo&) const = default;
};

/// A directory entry; `since` is the epoch of the last change of `state`.
struct Daemon {
  MOSSKEEL_FIELDS(Daemon, (DaemonId, id), (DaemonInfo, self), (DaemonState, state), (Epoch, since));
  bool operator==(const Daemon&) const = default;
};

/// All daemons that have ever registered; who has left stays, so that a number is never given twice.
using Directory = std::map<DaemonId, Daemon>;

}  // namespace mosskeel
