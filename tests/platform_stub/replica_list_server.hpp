#pragma once
// The platform's interface that lists the replicas.
#include <deque>

#include "net/http_listener.hpp"
#include "platform_stub/environment.hpp"
#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

/// Serves `GET /replicas` in pages, with a lag of `kListLag` and at a bounded rate.
class ReplicaListServer {
 public:
  using ListReplicas = std::function<std::vector<ListedReplica>()>;
  /// @param list_replicas the replicas that there are at the time of the call.
  ReplicaListServer(Environment& environment, ListReplicas list_replicas);

 private:
  struct Snapshot {
    MonotonicTime taken_at{};
    std::vector<ListedReplica> replicas;
  };
  /// Takes a snapshot, and goes on doing so.
  void take_snapshot();
  void respond(uint64_t exchange, const HttpRequest& request);
  /// Whether the rate allows one more request; if so, counts it.
  bool admit(MonotonicTime now);
  /// @param first the index of the page's first replica.
  std::string page(size_t first, MonotonicTime now) const;

  Environment& environment_;
  ListReplicas list_replicas_;
  /// The first one is the newest that is as old as the lag, where there is one.
  std::deque<Snapshot> snapshots_;
  /// Requests of the last second.
  std::deque<MonotonicTime> requests_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace mosskeel::platform_stub
