#pragma once
// Real controllers, stores and fronts beside hollow daemons, many to a process, over the daemons' own transport.
#include "scale/plan.hpp"

namespace mosskeel::scale {

struct FleetAsk {
  Plan plan;
  std::string out, bin;
  int base = 30000, changes = 10, restarts = 130, many = 8;
};
int fleet(const FleetAsk& a);
/// The life of one process of hollow daemons; commands come on its standard input, one line each.
int be_hollow(const FleetAsk& a, int first);

/// Where the processes of a run listen, from the base on: the real ones first.
constexpr int driver_port = 90, hollow_ports = 100, shadow_ports = 600;
inline Address local_port(const FleetAsk& a, int n) {
  return "127.0.0.1:" + std::to_string(a.base + n);
}
/// The same clock in every process of this machine, in ms.
Millis machine_now();
/// What a whole value is called when two processes compare theirs.
std::string fingerprint(const Metadata& m);

}  // namespace mosskeel::scale
