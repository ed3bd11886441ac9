#pragma once
// A pool of idle connections to replicas.
#include <deque>
#include <unordered_map>

#include "net/upstream_connection.hpp"

namespace mosskeel {

/// Keeps idle connections by address. The most recently idle one is reused first, so that surplus connections expire.
class ConnectionPool {
 public:
  /// Removes and returns a usable connection that has been idle for at most `max_idle`, or null if there is none.
  /// Unusable connections found on the way are closed; their owner must call `remove` before `close` returns.
  std::shared_ptr<UpstreamConnection> take(const Address& address, Duration max_idle);
  /// Adds an idle connection. Closes the oldest one to the same address if the limit is exceeded.
  void add(std::shared_ptr<UpstreamConnection> connection);
  /// Does nothing if the connection is not in the pool.
  void remove(const UpstreamConnection& connection);
  size_t size() const;

 private:
  using Connections = std::deque<std::shared_ptr<UpstreamConnection>>;
  /// By address; the most recently idle connection is at the back. Empty lists are removed.
  std::unordered_map<Address, Connections> idle_;
};

}  // namespace mosskeel
