#pragma once
// What a load run is to do.
#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

struct Plan {
  /// HTTP addresses.
  std::vector<Address> controllers;
  /// The tenant whose programs are begun; by default the one that `local-cluster` configures.
  std::string cell = "news";
  /// The deployment whose requests are played: "election" or "builds".
  std::string mix = "election";
  /// Programs begun a second, and for how many seconds.
  double rate = 5;
  int seconds = 20;
  /// The folder with the stand-in replicas' run files, to be checked at the end; empty: no check.
  std::string runs_folder;
  /// The file for the figures as JSON; empty: none.
  std::string report_file;
  /// Tokens that the cell's configuration grants a program and a turn.
  uint64_t budget = 400;
  uint64_t turn_limit = 40;
  /// Programs or name prefixes of the processes that faults are done to, over the local cluster's control address.
  std::vector<std::string> fault_targets;
  Address control_address;
  uint64_t fault_seed = 1;
};

}  // namespace mosskeel::loadgen
