#pragma once
// A fleet of real processes with the platform's stand-ins around it.
#include "platform_stub/app_replica.hpp"
#include "platform_stub/endless_replica.hpp"
#include "platform_stub/model_replica.hpp"
#include "platform_stub/operator.hpp"
#include "platform_stub/program_callers.hpp"
#include "platform_stub/replica_list_server.hpp"
#include "soak/trouble_log.hpp"

namespace mosskeel::soak {

/// The processes, their replicas, callers and operator. Replicas make no faults, so whatever is lost, the fleet lost.
/// Time passes, and everything happens, within `run_for` and `run_until`.
class FleetUnderTest {
 public:
  FleetUnderTest(const MachinesOptions& options, uint64_t seed);

  /// Starts all machines and gives them their first configuration. Whether all gateways became ready.
  bool found();
  void run_for(Duration time);
  /// Whether the condition came to hold within the time.
  bool run_until(Duration time, const std::function<bool()>& condition);

  /// SIGTERM, and SIGKILL at the end of the grace; the machine is started again once it has ended.
  void restart_in_order(MachineId machine);
  /// Kills machines at once and starts them again after the downtime; `loses_disk` also empties their disks.
  void crash(const std::vector<MachineId>& crashed, Duration downtime, bool loses_disk);
  /// Tells all daemons to stop, and reports those that do not end within the grace.
  void stop_in_order();
  /// Ends all open requests, and reports those that stay open.
  void finish_requests();

  /// Adds a replica that answers without end; lasts as long as the fleet.
  platform_stub::EndlessReplica& add_endless_replica(const std::string& service, int zone, uint32_t slots,
                                                     platform_stub::EndlessAnswer answer);
  void add_model_replica(const std::string& service, int zone);

  /// How long the requests to the service "slow" take from now on.
  void set_slow_execution_time(Duration time);

  Machines machines;
  platform_stub::Environment environment;
  platform_stub::Callers callers;
  platform_stub::ProgramCallers program_callers;
  platform_stub::Operator fleet_operator;
  TroubleLog troubles;

 private:
  /// What the list says of a new replica, but for its address.
  platform_stub::ListedReplica list_replica(const std::string& service, int zone);
  template <class Kind>
  Kind& add_replica(const std::string& service, int zone);
  std::vector<platform_stub::ListedReplica> list_replicas() const;
  bool may_lose_response(const Address& gateway, MonotonicTime sent_at) const;
  /// Reports the processes that have ended by themselves, and goes on doing so.
  void watch_processes();
  void report_unexpected_ends();

  std::vector<std::unique_ptr<platform_stub::Replica>> replicas_;
  std::vector<platform_stub::AppReplica*> slow_replicas_;
  std::vector<std::unique_ptr<platform_stub::EndlessReplica>> endless_replicas_;
  std::unique_ptr<platform_stub::ReplicaListServer> list_server_;
};

}  // namespace mosskeel::soak
