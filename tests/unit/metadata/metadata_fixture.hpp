#pragma once
// Metadata values for tests, produced by the same transformations as in a real cluster.
#include "metadata/transformation.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

/// A daemon whose address consists of its role's name and its number, such as "store11".
inline DaemonInfo numbered_daemon(uint64_t number, Role role, const std::string& zone) {
  auto address = std::string(name(role)) + std::to_string(number);
  return {Incarnation{number}, role, zone, address, "", "http-" + address, ""};
}

/// A metadata value to which transformations are committed, one per epoch.
struct MetadataFixture {
  Metadata metadata{};

  /// Applies a transformation; a rejected one leaves the metadata unchanged.
  Result<Metadata> try_commit(const Transformation& change, const std::string& commit_id = "") {
    auto result = apply(metadata, {next(metadata.epoch), commit_id, change});
    if (result.ok())
      metadata = result.value();
    return result;
  }

  /// Applies a transformation, which must be valid.
  void commit(const Transformation& change) {
    auto result = try_commit(change);
    INFO(describe(change) << (result.ok() ? "" : ": " + to_string(result.errors())));
    REQUIRE(result.ok());
  }

  bool is_rejected(const Transformation& change) const {
    return !apply(metadata, {next(metadata.epoch), "", change}).ok();
  }

  DaemonId id(const std::string& address) const { return metadata.find_at(address)->id; }
  DaemonState state(DaemonId daemon) const { return metadata.find(daemon)->state; }

  /// Prepares the sequence of a daemon and takes all of its steps.
  void run_sequence(const Transformation& prepare, DaemonId daemon) {
    commit(prepare);
    finish_sequence(daemon);
  }

  /// Takes all steps of a daemon's sequence, which must be prepared.
  void finish_sequence(DaemonId daemon) {
    for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
      commit(AdvanceSequence{daemon, step});
  }

  void register_and_join(const DaemonInfo& candidate) {
    commit(Register{candidate});
    auto joining = id(candidate.address);
    run_sequence(PrepareJoin{joining}, joining);
  }
};

/// A core of one controller, one gateway and `stores` stores, distributed round-robin over the zones a, b and c. By
/// default histories survive the simultaneous loss of two machines.
struct StoreFleet : MetadataFixture {
  explicit StoreFleet(uint64_t stores, uint32_t replication_factor = replication_factor_for(2, 1)) {
    commit(FoundCluster{7, 3, {numbered_daemon(1, Role::controller, "a")}, 0, replication_factor});
    register_and_join(numbered_daemon(2, Role::gateway, "a"));
    for (uint64_t number = kFirstStore; number < kFirstStore + stores; ++number) {
      std::string zone(1, static_cast<char>('a' + number % 3));
      register_and_join(numbered_daemon(number, Role::store, zone));
    }
  }

  static constexpr uint64_t kFirstStore = 11;
};

}  // namespace mosskeel::test
