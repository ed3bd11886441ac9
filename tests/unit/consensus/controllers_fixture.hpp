#pragma once
// Controllers for the tests of the consensus classes.
#include "metadata/daemon.hpp"

namespace mosskeel::test {

/// Controller `number`, whose incarnation equals its number.
inline DaemonInfo controller(uint64_t number) {
  std::string address = "controller" + std::to_string(number);
  return {Incarnation{number}, Role::controller, "zone", address, "", "http-" + address, address};
}

inline std::vector<DaemonInfo> three_controllers() {
  return {controller(1), controller(2), controller(3)};
}

}  // namespace mosskeel::test
