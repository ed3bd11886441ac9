#pragma once
// The operators' configuration. It is read and written as JSON: names of fields are part of the interface, their order
// is the format on the wire and on disk.
#include "base/fields.hpp"

#include "mosskeel/common.hpp"

namespace mosskeel {

/// A program's way to replicas of one kind, "model" or "app"; an empty list of replicas stands for all of that kind.
struct Route {
  MOSSKEEL_FIELDS(Route, (std::string, name), (std::string, kind), (std::vector<std::string>, replicas));
  bool operator==(const Route&) const = default;
  static std::set<std::string> optional_fields() { return {"replicas"}; }
};

/// A tenant with its own programs. `budget` and `turn_limit` count tokens, of a program and of one turn of it.
struct Cell {
  MOSSKEEL_FIELDS(Cell, (std::string, name), (uint64_t, budget), (uint64_t, turn_limit), (int64_t, retention_ms),
                  (std::vector<Route>, routes));
  bool operator==(const Cell&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// How often a request of a path may run: as often as need be, or once; a stream runs once unless it may be resumed.
enum class PathKind : uint8_t { safe, unsafe, streaming };
const char* name(PathKind kind);

/// A service's part of a path's requests, by weight.
struct Share {
  MOSSKEEL_FIELDS(Share, (std::string, service), (uint32_t, weight));
  bool operator==(const Share&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// Routes plain HTTP by host and longest prefix. Times in milliseconds; `rank` 0 is the most urgent; `attempts` is how
/// many replicas one request may be sent to; `kept` stores turns and their chains for `retention_ms`.
struct Path {
  MOSSKEEL_FIELDS(Path, (std::string, name), (std::string, host), (std::string, prefix), (std::string, kind),
                  (int64_t, timeout_ms), (int64_t, target_ms), (uint32_t, rank), (uint32_t, attempts), (bool, kept),
                  (int64_t, retention_ms), (bool, sticky), (bool, resumable), (int64_t, gap_ms),
                  (std::vector<Share>, shares));
  bool operator==(const Path&) const = default;
  static std::set<std::string> optional_fields() {
    return {"target_ms", "rank", "attempts", "kept", "retention_ms", "sticky", "resumable", "gap_ms"};
  }
  PathKind path_kind() const;
};

/// The capacity of each replica of one service: sessions, and requests a second during the `cold_ms` of its slow start.
/// `slots`, `cache_tokens` and `event_tokens` describe a model's batch, its prefix cache and the tokens of one event.
struct Service {
  MOSSKEEL_FIELDS(Service, (std::string, name), (std::string, health_path), (uint32_t, sessions), (int64_t, cold_ms),
                  (double, cold_per_s), (uint32_t, slots), (uint64_t, cache_tokens), (uint32_t, event_tokens));
  bool operator==(const Service&) const = default;
  static std::set<std::string> optional_fields() {
    return {"health_path", "sessions", "cold_ms", "cold_per_s", "slots", "cache_tokens", "event_tokens"};
  }
};

/// Limits of one caller's connection: bytes of a head and of a body, milliseconds for a head and without any traffic.
struct CallerLimits {
  MOSSKEEL_FIELDS(CallerLimits, (uint32_t, head_bytes), (uint32_t, body_bytes), (int64_t, head_ms), (int64_t, idle_ms));
  bool operator==(const CallerLimits&) const = default;
  static std::set<std::string> optional_fields() { return {"head_bytes", "body_bytes", "head_ms", "idle_ms"}; }
};

/// What operators configure. `document` is the operator's own document, verbatim, where that was not this JSON.
struct Configuration {
  MOSSKEEL_FIELDS(Configuration, (std::vector<Cell>, cells), (std::vector<Path>, paths),
                  (std::vector<Service>, services), (CallerLimits, callers), (std::string, document));
  bool operator==(const Configuration&) const = default;
  static std::set<std::string> optional_fields() { return {"paths", "services", "callers", "document"}; }
  /// Null where there is none of this name.
  const Cell* cell(const std::string& name) const;
  const Service* service(const std::string& name) const;
};

/// Everything that is wrong with a configuration, each error with its place ("paths[3].host"); empty for a valid one.
Errors validate(const Configuration& configuration);

}  // namespace mosskeel
