#pragma once
// One run of the stub, from the fleet's founding to the last check.
#include "platform_stub/operator.hpp"
#include "platform_stub/program_callers.hpp"
#include "platform_stub/replica.hpp"
#include "platform_stub/replica_list_server.hpp"
#include "platform_stub/rogue_replica.hpp"

namespace mosskeel::platform_stub {

/// Founds a fleet, sends traffic to it and meanwhile changes what platforms change: routes, replicas and zones. It
/// prints "traffic begins" where scripts may begin to disturb the fleet.
class Scenario {
 public:
  /// @param traffic_duration how long requests are sent for.
  /// @param calm nothing but traffic: replicas make no faults and the operator changes nothing.
  Scenario(const FleetAddresses& addresses, Duration traffic_duration, bool calm);
  /// @return whether all promises were kept and enough requests were served.
  bool run();

 private:
  enum class RouteChange { not_begun, under_way, in_force };

  Replica& add_replica(const std::string& service, const std::string& zone);
  std::vector<ListedReplica> list_replicas() const;
  void await_ready_fleet(MonotonicTime deadline);
  void begin_traffic();
  void begin_plain_traffic();
  void begin_programs();
  void begin_changed_routes();
  /// Sends a request on a route that was removed; it may not succeed.
  void send_on_removed_route();
  void schedule_changes();
  /// Lets the first replica drain, and a cold one come in its place.
  void replace_first_replica();
  void evacuate_last_zone();
  void restore_last_zone();
  /// Waits for the requests that are under way, then ends the run.
  void await_end();
  /// Calls the function now and at random intervals around `interval`, as long as there is traffic.
  void repeat(Duration interval, const std::function<void()>& function);
  /// Calls the function once, so many tenths of the traffic after its beginning.
  void run_at_tenth(int tenths, std::function<void()> function);

  Environment environment_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<RogueReplica> rogue_;
  std::unique_ptr<ReplicaListServer> list_server_;
  Callers callers_;
  ProgramCallers program_callers_;
  Operator operator_;
  const Duration traffic_duration_;
  MonotonicTime traffic_begin_{};
  RouteChange route_change_ = RouteChange::not_begun;
};

}  // namespace mosskeel::platform_stub
