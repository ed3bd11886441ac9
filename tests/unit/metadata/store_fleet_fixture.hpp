#pragma once
// A metadata value of a fleet with stores, made by the same transformations as a real one.
#include "metadata/transformation.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

/// A core of one controller, one front, and this many stores in turn over the zones a, b and c. By default it bears the
/// loss of two machines at once.
class StoreFleet {
 public:
  explicit StoreFleet(uint64_t stores, uint32_t replication_factor = replication_factor_for(2, 1)) {
    commit(FoundCluster{7, 3, {candidate(1, Role::controller, "a")}, 0, replication_factor});
    commit(Register{candidate(2, Role::gateway, "a")});
    run_sequence(PrepareJoin{id("front2")}, "front2");
    for (uint64_t number = 11; number < 11 + stores; ++number)
      add_store(number);
  }

  const Metadata& metadata() const { return metadata_; }
  DaemonId id(const std::string& address) const { return daemon(address).id; }
  const Daemon& daemon(const std::string& address) const { return *metadata_.find_at(address); }

  /// Applies a transformation, which has to be valid.
  void commit(const Transformation& change) {
    auto result = apply(metadata_, {next(metadata_.epoch), "", change});
    INFO(describe(change) << (result.ok() ? "" : ": " + to_string(result.errors())));
    REQUIRE(result.ok());
    metadata_ = result.value();
  }
  bool is_rejected(const Transformation& change) const {
    return !apply(metadata_, {next(metadata_.epoch), "", change}).ok();
  }
  void run_sequence(const Transformation& prepare, const std::string& address) {
    commit(prepare);
    finish_sequence(address);
  }
  /// All steps of a sequence that was prepared.
  void finish_sequence(const std::string& address) {
    for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
      commit(AdvanceSequence{id(address), step});
  }

 private:
  static Candidate candidate(uint64_t incarnation, Role role, const std::string& zone) {
    auto address = std::string(name(role)) + std::to_string(incarnation);
    return {Incarnation{incarnation}, role, zone, address, "", "", ""};
  }
  void add_store(uint64_t number) {
    std::string zone(1, static_cast<char>('a' + number % 3));
    commit(Register{candidate(number, Role::store, zone)});
    auto address = "store" + std::to_string(number);
    run_sequence(PrepareJoin{id(address)}, address);
  }

  Metadata metadata_{};
};

}  // namespace mosskeel::test
