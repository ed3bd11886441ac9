#pragma once
// Strong typedefs for identifiers and counters.
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace mosskeel {

/// Strong typedef of T. Values with different tags are distinct types, so they cannot be mixed up.
template <class Tag, class T>
class Strong {
 public:
  Strong() = default;
  constexpr explicit Strong(T value) : value_(std::move(value)) {}

  constexpr const T& value() const { return value_; }
  auto operator<=>(const Strong&) const = default;

 private:
  T value_{};
};

/// Position in the metadata log. Each committed change increments the epoch; it is 0 before the cluster is founded.
using Epoch = Strong<struct EpochTag, uint64_t>;
/// A daemon's id in the directory, assigned by the log on registration. 0 means none.
using DaemonId = Strong<struct DaemonTag, uint64_t>;
/// Index of a partition of the program key space.
using PartitionId = Strong<struct PartitionTag, uint32_t>;
/// Version number of the configuration, assigned by operators.
using Revision = Strong<struct RevisionTag, uint64_t>;
/// Distinguishes a daemon from earlier ones at the same address. Stored on the daemon's disk if it has one, otherwise
/// chosen at random on each start.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;
/// "IP:port" of a daemon, or the name of an endpoint inside the process.
using Address = std::string;

/// Returns the epoch after this one.
inline Epoch next(Epoch epoch) {
  return Epoch{epoch.value() + 1};
}

}  // namespace mosskeel
