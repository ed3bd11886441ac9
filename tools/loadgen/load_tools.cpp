// The calls of tools between two turns of a program.
#include "load.hpp"

namespace mosskeel::loadgen {

void Load::tools(uint64_t n) {
  bool election = plan_.mix == "election";
  fetch((election ? "/tallies/" : "/status/") + std::to_string(n % 97), election ? "tally" : "status", "normal");
  fetch((election ? "/tiles/" : "/artifacts/") + std::to_string(n % 997), election ? "tile" : "artifact", "normal");
  if (n % 2 == 0)
    tally(n);
  if (n % 20 == 0)
    fetch("/archive/" + std::to_string(n), "archive", "bulk");
}

}  // namespace mosskeel::loadgen
