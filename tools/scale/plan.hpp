#pragma once
// How large a fleet and its configuration are, and the metadata value that such a fleet has once it is at rest.
#include "runtime/state_machine.hpp"

namespace mosskeel::scale {

enum class Part { controller, store, agent, gateway };
const char* name(Part p);

/// The target of two years is the default. `daemons` are fronts and stores together, one store in ten.
struct Plan {
  int controllers = 3, daemons = 340, replicas = 600, paths = 200, cells = 18000, services = 11, zones = 8, slots = 0;
  /// Commit ids remembered, and daemons that have left, in a fleet that is not new.
  int remembered = 0, left = 0;
  int stores() const { return std::max(3, daemons / 10); }
  int fronts() const { return daemons - stores(); }
};

struct Seat {
  Part part{};
  Identity id;
  size_t zone = 0, region = 0;
  Address beside;
};

/// Every process of the plan's fleet, controllers first, then stores, then each agent with its gateway.
std::vector<Seat> seats(const Plan& p, uint64_t seed);
/// One more front, as `seats` makes them.
std::pair<Seat, Seat> front(const Plan& p, size_t n, uint64_t seed);
Configuration configuration(const Plan& p);
std::vector<Replica> replicas(const Plan& p);
/// The value after founding, joins, configuration and replica list, all by the transformations themselves.
Metadata rest(const Plan& p, const std::vector<Seat>& seats);
/// Bytes of each table of the value.
std::map<std::string, size_t> tables(const Metadata& m);

}  // namespace mosskeel::scale
