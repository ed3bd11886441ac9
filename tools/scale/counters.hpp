#pragma once
// What the processes of a simulated fleet have sent, received, written and computed.
#include <cstdint>
#include <map>
#include <string>

namespace mosskeel::scale {

/// Messages and their encoded bytes.
struct Traffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;

  Traffic& operator+=(const Traffic& other) {
    messages += other.messages;
    bytes += other.bytes;
    return *this;
  }
};
/// By the name of the message kind.
using TrafficByKind = std::map<std::string, Traffic>;

/// All kinds together.
Traffic total(const TrafficByKind& traffic);

/// What one process, or all processes of a kind, have done since the counters were reset.
struct Counters {
  TrafficByKind sent;
  TrafficByKind received;
  /// What stays on its machine: between an agent and its gateway, and from a process to itself.
  TrafficByKind machine_local;
  int64_t cpu_nanoseconds = 0;
  uint64_t journal_bytes = 0;
  uint64_t syncs = 0;
  uint64_t checkpoints = 0;
  uint64_t checkpoint_bytes = 0;

  Counters& operator+=(const Counters& other);
  /// Sent and received over the network.
  Traffic network() const;
};

}  // namespace mosskeel::scale
