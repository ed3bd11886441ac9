#pragma once
// Idle connections to replicas.
#include <deque>
#include <unordered_map>

#include "net/upstream_connection.hpp"

namespace mosskeel {

/// Keeps idle connections by address. The one that became idle last is used first: the others may expire.
class ConnectionPool {
 public:
  /// Takes a usable connection out, or nothing where there is none that has been idle for at most `max_idle`. Ones
  /// that turn out to be unusable are closed, and must have been removed by their owner when that returns.
  std::shared_ptr<UpstreamConnection> take(const Address& address, Duration max_idle);
  /// Closes the oldest connection of that address where there are too many.
  void add(std::shared_ptr<UpstreamConnection> connection);
  /// No effect on connections that are not in the pool.
  void remove(const UpstreamConnection& connection);
  size_t size() const;

 private:
  using Connections = std::deque<std::shared_ptr<UpstreamConnection>>;
  /// By address, the one that became idle last at the back; no empty ones.
  std::unordered_map<Address, Connections> idle_;
};

}  // namespace mosskeel
