#include "scale/plan.hpp"

#include <stdexcept>

#include "base/codec.hpp"

namespace mosskeel::scale {
namespace {

constexpr size_t kRegionCount = 2;
constexpr int kFirstDaemonPort = 7000;
constexpr int kPortsBetweenKinds = 10;
constexpr int kHttpPort = 8080;
constexpr int kReplicaPort = 9000;
/// Seeds that each daemon is given; so many controllers, or all if there are fewer.
constexpr size_t kSeedCount = 3;
/// Hashed into the seeds of processes; another text would change every figure that was measured.
constexpr const char* kRandomSeedLabel = "dice";

/// Addresses have the length that they have in a cluster, since messages that carry them are counted in bytes.
Address address(size_t zone, size_t machine, int port) {
  auto octet = [](size_t number) {
    return std::to_string(100 + number);
  };
  return "10." + octet(zone) + "." + octet(machine / 100) + "." + octet(machine % 100) + ":" + std::to_string(port);
}

std::string zone_name(size_t zone) {
  auto region = zone % kRegionCount + 1;
  auto letter = static_cast<char>('a' + zone / kRegionCount);
  return "region-" + std::to_string(region) + "-" + std::string(1, letter);
}

int daemon_port(ProcessKind kind) {
  return kFirstDaemonPort + kPortsBetweenKinds * static_cast<int>(kind);
}

Role role_of(ProcessKind kind) {
  switch (kind) {
    case ProcessKind::controller:
      return Role::controller;
    case ProcessKind::store:
      return Role::store;
    case ProcessKind::agent:
    case ProcessKind::gateway:
      return Role::gateway;
  }
  return Role::gateway;
}

Address companion_address(ProcessKind kind, size_t zone, size_t machine) {
  if (kind == ProcessKind::agent)
    return address(zone, machine, daemon_port(ProcessKind::gateway));
  if (kind == ProcessKind::gateway)
    return address(zone, machine, daemon_port(ProcessKind::agent));
  return "";
}

ProcessSpec make_process(const Plan& plan, ProcessKind kind, size_t machine, uint64_t incarnation) {
  ProcessSpec process;
  process.kind = kind;
  process.zone = machine % static_cast<size_t>(plan.zones);
  process.region = process.zone % kRegionCount;
  process.companion = companion_address(kind, process.zone, machine);
  process.identity.self = {.incarnation = Incarnation{incarnation},
                           .role = role_of(kind),
                           .zone = zone_name(process.zone),
                           .address = address(process.zone, machine, daemon_port(kind)),
                           .agent_address = process.companion,
                           .http_address = address(process.zone, machine, kHttpPort),
                           .machine = "machine-" + std::to_string(1000 + machine)};
  process.identity.core_size = static_cast<uint32_t>(plan.controllers);
  process.identity.random_seed = digest(kRandomSeedLabel, incarnation);
  return process;
}

/// A name with a number of five digits, so that all names of one kind are equally long.
std::string numbered(const char* prefix, int number) {
  return prefix + std::to_string(10000 + number);
}

/// Applies transformations to a metadata value.
class MetadataBuilder {
 public:
  Metadata metadata{};

  void apply(Transformation change) {
    auto applied =
        mosskeel::apply(metadata, {.epoch = next(metadata.epoch), .commit_id = "", .change = std::move(change)});
    if (!applied.ok())
      throw std::runtime_error(to_string(applied.errors()));
    metadata = applied.value();
  }

  void found(const Plan& plan, const std::vector<ProcessSpec>& processes) {
    FoundCluster founding{.cluster = digest("cluster"),
                          .core_size = static_cast<uint32_t>(plan.controllers),
                          .members = {},
                          .max_core_size = 0,
                          .replication_factor = 0};
    for (const auto& process : processes) {
      if (process.kind == ProcessKind::controller)
        founding.members.push_back(process.identity.self);
    }
    apply(founding);
    if (plan.partitions)
      metadata.partitions.resize(static_cast<size_t>(plan.partitions));
  }

  /// Agents are not in the directory: their gateways speak for them.
  void register_daemons(const std::vector<ProcessSpec>& processes) {
    for (const auto& process : processes) {
      if (process.kind == ProcessKind::store || process.kind == ProcessKind::gateway)
        apply(Register{.self = process.identity.self});
    }
  }

  void join_daemons() {
    for (const auto& [id, daemon] : Directory(metadata.directory)) {
      if (daemon.self.role == Role::controller)
        continue;
      apply(PrepareJoin{.node = id});
      for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
        apply(AdvanceSequence{.node = id, .step = step});
    }
  }

  void change_quorum() {
    apply(BeginQuorumChange{});
    apply(FinishQuorumChange{.since = metadata.epoch});
  }

  void configure(const Plan& plan) {
    apply(ApplyConfiguration{
        .base = metadata.revision, .configuration = make_configuration(plan), .revision = Revision{}});
    if (plan.replicas)
      apply(UpdateReplicas{.updated = make_replicas(plan), .removed = {}});
  }

  /// What a fleet that is not new remembers.
  void add_past(const Plan& plan) {
    for (int number = 0; number < plan.remembered_commits; ++number) {
      auto id = "op-" + hex(digest("id", static_cast<uint64_t>(number)));
      metadata.applied_commits.push_back({.id = id, .epoch = metadata.epoch});
    }
    for (int number = 0; number < plan.departed_daemons; ++number) {
      auto machine = static_cast<size_t>(number % plan.daemons);
      auto process = make_process(plan, ProcessKind::gateway, machine, digest("left", static_cast<uint64_t>(number)));
      DaemonId id{metadata.next_id++};
      metadata.directory[id] = {
          .id = id, .self = process.identity.self, .state = DaemonState::left, .since = metadata.epoch};
    }
  }
};

}  // namespace

const char* name(ProcessKind kind) {
  static constexpr const char* names[] = {"controller", "store", "agent", "gateway"};
  return names[static_cast<int>(kind)];
}

std::vector<ProcessSpec> fleet_processes(const Plan& plan, uint64_t seed) {
  std::vector<ProcessSpec> processes;
  auto add = [&](ProcessKind kind, int machine) {
    auto incarnation = digest("seat", seed * 1000003 + processes.size());
    processes.push_back(make_process(plan, kind, static_cast<size_t>(machine), incarnation));
  };
  for (int machine = 0; machine < plan.controllers; ++machine)
    add(ProcessKind::controller, machine);
  Addresses seeds;
  for (size_t index = 0; index < std::min(kSeedCount, processes.size()); ++index)
    seeds.push_back(processes[index].identity.self.address);
  for (int machine = 0; machine < plan.stores(); ++machine)
    add(ProcessKind::store, machine);
  for (int machine = 0; machine < plan.gateways(); ++machine) {
    add(ProcessKind::agent, machine);
    add(ProcessKind::gateway, machine);
  }
  for (auto& process : processes)
    process.identity.seeds = seeds;
  return processes;
}

GatewaySpec additional_gateway(const Plan& plan, size_t machine, uint64_t seed) {
  return {.agent = make_process(plan, ProcessKind::agent, machine, digest("newcomer", seed)),
          .gateway = make_process(plan, ProcessKind::gateway, machine, digest("beside", seed))};
}

Configuration make_configuration(const Plan& plan) {
  Configuration configuration;
  for (int number = 0; number < plan.cells; ++number) {
    configuration.cells.push_back({.name = numbered("tenant-", number),
                                   .budget = 360000,
                                   .turn_limit = 8192,
                                   .retention_ms = 3600000,
                                   .routes = {{.name = "chat", .kind = "model", .replicas = {}}}});
  }
  for (int number = 0; number < plan.services; ++number) {
    configuration.services.push_back({.name = numbered("model-", number),
                                      .health_path = "/health",
                                      .sessions = 64,
                                      .cold_ms = 10000,
                                      .cold_per_s = 2.0,
                                      .slots = 32,
                                      .cache_tokens = 4000000,
                                      .event_tokens = 16});
  }
  for (int number = 0; number < plan.paths; ++number) {
    configuration.paths.push_back({.name = numbered("path-", number),
                                   .host = "api.example.com",
                                   .prefix = "/v1/" + numbered("p", number) + "/",
                                   .kind = "streaming",
                                   .timeout_ms = 60000,
                                   .target_ms = 1100,
                                   .rank = 1,
                                   .attempts = 2,
                                   .kept = true,
                                   .retention_ms = 3600000,
                                   .sticky = true,
                                   .resumable = false,
                                   .gap_ms = 30,
                                   .shares = {{.service = numbered("model-", number % plan.services), .weight = 100}}});
  }
  return configuration;
}

std::vector<Replica> make_replicas(const Plan& plan) {
  std::vector<Replica> replicas;
  for (int number = 0; number < plan.replicas; ++number) {
    auto zone = static_cast<size_t>(number % plan.zones);
    replicas.push_back({.name = numbered("replica-", number),
                        .kind = "model",
                        .zone = zone_name(zone),
                        .url = "http://" + address(zone, static_cast<size_t>(number), kReplicaPort),
                        .health = ReplicaHealth::ready,
                        .since = Epoch{},
                        .capacity = 32,
                        .service = numbered("model-", number % plan.services),
                        .warm_up_ms = 0});
  }
  return replicas;
}

Metadata metadata_at_rest(const Plan& plan, const std::vector<ProcessSpec>& processes) {
  MetadataBuilder builder;
  builder.found(plan, processes);
  builder.register_daemons(processes);
  builder.join_daemons();
  builder.change_quorum();
  builder.configure(plan);
  builder.add_past(plan);
  return std::move(builder.metadata);
}

std::map<std::string, size_t> encoded_sizes(const Metadata& metadata) {
  namespace hana = boost::hana;
  std::map<std::string, size_t> sizes;
  auto add_field = [&](auto field) {
    auto field_name = hana::to<const char*>(hana::first(field));
    sizes[field_name] = codec::encode(hana::second(field)(metadata)).size();
  };
  hana::for_each(hana::accessors<Metadata>(), add_field);
  sizes["configuration.cells"] = codec::encode(metadata.configuration.cells).size();
  sizes["configuration.paths"] = codec::encode(metadata.configuration.paths).size();
  sizes["configuration.services"] = codec::encode(metadata.configuration.services).size();
  sizes["whole"] = codec::encode(metadata).size();
  return sizes;
}

}  // namespace mosskeel::scale
