#pragma once
// Replicas of models and applications, to which gateways send requests.
#include "base/fields.hpp"

#include "mosskeel/common.hpp"

namespace mosskeel {

/// `warming_up`: in slow start, with a gradually increasing request rate. `draining`: gets no new requests.
enum class ReplicaHealth : uint8_t { warming_up, ready, draining };

const char* name(ReplicaHealth health);

/// The order of the fields is the format on the wire and on disk.
struct Replica {
  /// - `since`: epoch of the last change of `health`
  /// - `capacity`: concurrent requests that all gateways together may send to it
  /// - `service`: the configured service that it belongs to; empty for a cell's own replica
  /// - `warm_up_ms`: remaining slow start time, counted from the reading of the replica list that reported it
  MOSSKEEL_FIELDS(Replica, (std::string, name), (std::string, kind), (std::string, zone), (std::string, url),
                  (ReplicaHealth, health), (Epoch, since), (uint32_t, capacity), (std::string, service),
                  (int64_t, warm_up_ms));
  bool operator==(const Replica&) const = default;
};

using Replicas = std::map<std::string, Replica>;

}  // namespace mosskeel
