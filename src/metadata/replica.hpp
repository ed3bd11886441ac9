#pragma once
// Replicas of models and applications, to which gateways send requests.
#include "base/fields.hpp"

#include "mosskeel/common.hpp"

namespace mosskeel {

/// `warming_up` is slow start: requests increase step by step. `draining`: no new requests.
enum class ReplicaHealth : uint8_t { warming_up, ready, draining };

const char* name(ReplicaHealth health);

/// The order of the fields is the format on the wire and on disk.
struct Replica {
  /// - `since`: epoch of the last change of `health`
  /// - `capacity`: requests that all gateways together may run on it at once
  /// - `service`: the service of the configuration that it belongs to; empty for a replica of a cell's own
  /// - `warm_up_ms`: remaining slow start, counted from the reading of the replica list that reported it
  MOSSKEEL_FIELDS(Replica, (std::string, name), (std::string, kind), (std::string, zone), (std::string, url),
                  (ReplicaHealth, health), (Epoch, since), (uint32_t, capacity), (std::string, service),
                  (int64_t, warm_up_ms));
  bool operator==(const Replica&) const = default;
};

using Replicas = std::map<std::string, Replica>;

}  // namespace mosskeel
