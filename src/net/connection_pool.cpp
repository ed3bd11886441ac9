#include "net/connection_pool.hpp"

namespace mosskeel {
namespace {

constexpr size_t kMaxIdleConnectionsPerAddress = 64;

}  // namespace

std::shared_ptr<UpstreamConnection> ConnectionPool::take(const Address& address, Duration max_idle) {
  for (auto found = idle_.find(address); found != idle_.end(); found = idle_.find(address)) {
    auto connection = found->second.back();
    if (monotonic_now() - connection->idle_since() > max_idle) {
      return nullptr;
    }
    if (connection->usable()) {
      remove(*connection);
      return connection;
    }
    connection->close();
  }
  return nullptr;
}

void ConnectionPool::add(std::shared_ptr<UpstreamConnection> connection) {
  auto& connections = idle_[connection->address()];
  connections.push_back(std::move(connection));
  if (connections.size() > kMaxIdleConnectionsPerAddress) {
    auto oldest = connections.front();
    oldest->close();
  }
}

void ConnectionPool::remove(const UpstreamConnection& connection) {
  auto found = idle_.find(connection.address());
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const auto& kept) { return kept.get() == &connection; });
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

size_t ConnectionPool::size() const {
  size_t total = 0;
  for (const auto& [_, connections] : idle_) {
    total += connections.size();
  }
  return total;
}

}  // namespace mosskeel
