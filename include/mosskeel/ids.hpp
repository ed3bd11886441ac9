#pragma once
// Strong typedefs for identifiers and counters, so that two of them cannot be mixed up.
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace mosskeel {

/// A value of type T that cannot be mixed up with another of the same T.
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

/// Position in the metadata log; each committed change makes the next epoch. 0 before the founding.
using Epoch = Strong<struct EpochTag, uint64_t>;
/// A daemon's number in the directory, given by the log when it registers. 0 stands for none.
using DaemonId = Strong<struct DaemonTag, uint64_t>;
/// Index of a partition of the programs.
using PartitionId = Strong<struct PartitionTag, uint32_t>;
/// Version of the configuration, as operators number it.
using Revision = Strong<struct RevisionTag, uint64_t>;
/// Tells a daemon from earlier ones at its address: kept on its disk where it has one, else drawn at each start.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;
/// "IP:port" of a daemon, or the name of an endpoint inside a process.
using Address = std::string;

/// The epoch after this one.
inline Epoch next(Epoch epoch) {
  return Epoch{epoch.value() + 1};
}

}  // namespace mosskeel
