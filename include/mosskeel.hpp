#pragma once
// The project's one common header: strong typedefs, results, findings.
#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mosskeel {

/// A value of type T that cannot be mixed up with another of the same T.
template <class Tag, class T>
struct Strong {
  T v{};
  Strong() = default;
  constexpr explicit Strong(T x) : v(std::move(x)) {}
  auto operator<=>(const Strong&) const = default;
};

using Epoch = Strong<struct EpochTag, uint64_t>;
using DaemonId = Strong<struct DaemonTag, uint64_t>;
using PartitionId = Strong<struct PartitionTag, uint32_t>;
using Revision = Strong<struct RevisionTag, uint64_t>;
using Incarnation = Strong<struct IncarnationTag, uint64_t>;
using Millis = int64_t;
using Address = std::string;

inline Epoch next(Epoch e) {
  return Epoch{e.v + 1};
}

/// One thing that is wrong, and where.
struct Finding {
  std::string place, reason;
  bool operator==(const Finding&) const = default;
};
using Findings = std::vector<Finding>;

/// A value, or everything that was found wrong on the way to it.
template <class T>
using Result = std::variant<T, Findings>;

template <class T>
bool ok(const Result<T>& r) {
  return r.index() == 0;
}
template <class T>
const T& value(const Result<T>& r) {
  return std::get<0>(r);
}
template <class T>
const Findings& findings(const Result<T>& r) {
  return std::get<1>(r);
}

/// All findings on one line each, "place: reason".
std::string render(const Findings& f);

template <class... F>
struct overload : F... {
  using F::operator()...;
};
template <class... F>
overload(F...) -> overload<F...>;

/// FNV-1a with a final mix: stable across machines, used for partitions, seals and affinity.
uint64_t digest(std::string_view s, uint64_t seed = 1469598103934665603ULL);
std::string hex(uint64_t x);
std::optional<uint64_t> unhex(std::string_view s);

}  // namespace mosskeel
