#pragma once
// The operators' configuration. It is read and written as JSON: field names are part of the external interface, and the
// order of the fields is the format on the wire and on disk.
#include "base/fields.hpp"

#include "mosskeel/common.hpp"

namespace mosskeel {

/// A program's route to replicas of one kind, "model" or "app"; an empty list of replicas means all of that kind.
struct Route {
  MOSSKEEL_FIELDS(Route, (std::string, name), (std::string, kind), (std::vector<std::string>, replicas));
  bool operator==(const Route&) const = default;
  static std::set<std::string> optional_fields() { return {"replicas"}; }
};

/// A tenant with its own programs. `budget` is the token limit of a program, `turn_limit` that of one of its turns.
struct Cell {
  MOSSKEEL_FIELDS(Cell, (std::string, name), (uint64_t, budget), (uint64_t, turn_limit), (int64_t, retention_ms),
                  (std::vector<Route>, routes));
  bool operator==(const Cell&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// Whether a path's requests may be retried: `safe` ones may run several times, `unsafe` ones once, and `streaming`
/// ones once unless they can be resumed.
enum class PathKind : uint8_t { safe, unsafe, streaming };
const char* name(PathKind kind);

/// A service's share of a path's requests, by weight.
struct Share {
  MOSSKEEL_FIELDS(Share, (std::string, service), (uint32_t, weight));
  bool operator==(const Share&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// A route for plain HTTP requests, matched by host and longest prefix. Times are in milliseconds. `rank` 0 is the
/// highest priority. `attempts` limits the replicas that one request is sent to. `kept` stores turns and their chains
/// for `retention_ms`.
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

/// The capacity of each replica of a service: sessions, and requests per second during the `cold_ms` of its slow start.
/// `slots`, `cache_tokens` and `event_tokens` are a model's batch size, its prefix cache size and the tokens per event.
struct Service {
  MOSSKEEL_FIELDS(Service, (std::string, name), (std::string, health_path), (uint32_t, sessions), (int64_t, cold_ms),
                  (double, cold_per_s), (uint32_t, slots), (uint64_t, cache_tokens), (uint32_t, event_tokens));
  bool operator==(const Service&) const = default;
  static std::set<std::string> optional_fields() {
    return {"health_path", "sessions", "cold_ms", "cold_per_s", "slots", "cache_tokens", "event_tokens"};
  }
};

/// Limits of a client connection: size of a request head and body in bytes, and timeouts in milliseconds for receiving
/// a head and for an idle connection.
struct CallerLimits {
  MOSSKEEL_FIELDS(CallerLimits, (uint32_t, head_bytes), (uint32_t, body_bytes), (int64_t, head_ms), (int64_t, idle_ms));
  bool operator==(const CallerLimits&) const = default;
  static std::set<std::string> optional_fields() { return {"head_bytes", "body_bytes", "head_ms", "idle_ms"}; }
};

/// The whole configuration. `document` is the operator's original document, verbatim, if that was in another format.
struct Configuration {
  MOSSKEEL_FIELDS(Configuration, (std::vector<Cell>, cells), (std::vector<Path>, paths),
                  (std::vector<Service>, services), (CallerLimits, callers), (std::string, document));
  bool operator==(const Configuration&) const = default;
  static std::set<std::string> optional_fields() { return {"paths", "services", "callers", "document"}; }
  /// Null if there is none with this name.
  const Cell* cell(const std::string& name) const;
  const Service* service(const std::string& name) const;
};

/// All errors of a configuration, each with its location ("paths[3].host"); empty if it is valid.
Errors validate(const Configuration& configuration);

}  // namespace mosskeel
