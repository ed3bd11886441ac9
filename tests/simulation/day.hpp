#pragma once
// One simulated day, and what scenarios have in common.
#include "simulation/callers.hpp"

namespace mosskeel::sim {

/// A world, its callers, and the closing check.
struct Day {
  World world;
  Callers callers;
  /// The scenario judged itself: more was lost than histories are promised to survive.
  bool closed = false;
  /// For each loss of stores: how long after their successors' start partitions still lay on too few stores.
  std::vector<Duration> exposed;

  Day(uint64_t seed, FleetSize size, uint64_t budget);
  /// A random daemon of this kind, whether it runs or not.
  std::string any(Kind kind);
  /// A random store but for one.
  std::string any_store_but(const std::string& excluded);
  /// Everything healed: the fleet serves within 12 s, old conversations are resumed, every promise is checked.
  void close();

 private:
  struct ClosingTurns {
    bool served = false, over = false;
  };
  void recover_everything();
  void ask_until_served(const std::shared_ptr<ClosingTurns>& turns);
};

/// Lets this much time of a trouble pass; some turns must succeed in it.
void must_serve(Day& day, Duration time, const char* during);
/// One acknowledged change of the configuration; its revision, or 0.
uint64_t change_configuration(Day& day, Duration patience);
/// The revision must be in force at all gateways that run.
void must_be_in_force(Day& day, uint64_t revision, Duration within);
/// No sequence of steps, such as a join or a drain, is under way.
bool has_no_sequences(World& world);
/// Restarts the gateways one after the other.
void restart_gateways(World& world);
void power_off_all(World& world, const std::vector<std::string>& names);
void start_all(World& world, const std::vector<std::string>& names);
/// All daemons in a zone.
std::vector<std::string> names_in_zone(World& world, const std::string& zone);
/// One request from its asking to its end; a session that is lost gives status 0.
ProgramResponse ask(Day& day, ProgramRequest request, const std::string& gateway);

}  // namespace mosskeel::sim
