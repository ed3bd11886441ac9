#pragma once
// The size of a fleet and of its configuration, and the metadata that such a fleet has once it is at rest.
#include "runtime/state_machine.hpp"

namespace mosskeel::scale {

enum class ProcessKind { controller, store, agent, gateway };
constexpr std::array<ProcessKind, 4> kAllProcessKinds{ProcessKind::controller, ProcessKind::store, ProcessKind::agent,
                                                      ProcessKind::gateway};
const char* name(ProcessKind kind);

/// How many of everything there are. The defaults are the capacity target of two years.
struct Plan {
  int controllers = 3;
  /// Gateways and stores together; one daemon in ten is a store.
  int daemons = 340;
  int replicas = 600;
  int paths = 200;
  int cells = 18000;
  int services = 11;
  int zones = 8;
  /// 0 stands for the number that founding gives.
  int partitions = 0;
  /// Commit ids that a fleet which is not new remembers.
  int remembered_commits = 0;
  /// Daemons that have left such a fleet.
  int departed_daemons = 0;

  int stores() const { return std::max(3, daemons / 10); }
  int gateways() const { return daemons - stores(); }
};

/// One process of the fleet: what it is, and where it runs.
struct ProcessSpec {
  ProcessKind kind{};
  Identity identity;
  size_t zone = 0;
  size_t region = 0;
  /// The address of an agent's gateway, or of a gateway's agent; empty for others.
  Address companion;
};

/// The two processes of one gateway machine: the gateway and its agent.
struct GatewaySpec {
  ProcessSpec agent;
  ProcessSpec gateway;
};

/// Every process of the plan's fleet: controllers first, then stores, then each agent followed by its gateway.
std::vector<ProcessSpec> fleet_processes(const Plan& plan, uint64_t seed);

/// One more gateway machine beside those of `fleet_processes`, on the machine of this number.
GatewaySpec additional_gateway(const Plan& plan, size_t machine, uint64_t seed);

Configuration make_configuration(const Plan& plan);
std::vector<Replica> make_replicas(const Plan& plan);

/// The metadata after founding, joins, configuration and replica list, made by the transformations themselves.
/// Throws std::runtime_error where one of them is rejected.
Metadata metadata_at_rest(const Plan& plan, const std::vector<ProcessSpec>& processes);

/// Encoded bytes of each field of the metadata, of the large fields of the configuration, and of the "whole".
std::map<std::string, size_t> encoded_sizes(const Metadata& metadata);

}  // namespace mosskeel::scale
