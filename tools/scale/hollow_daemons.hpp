#pragma once
// A process of hollow daemons: gateways of which only the agent is real. It speaks over the daemons' own transport.
#include "scale/fleet_options.hpp"

namespace mosskeel::scale {

/// Runs the hollow daemons from this number on until the standard input ends or says "quit"; 2 if an address is taken.
/// Each line of the standard input is a command, answered by one line on the standard output:
///   start INDEX...   starts daemons of this process
///   stop INDEX...    stops them
///   cut ADDRESS...   drops all messages from and to these addresses, and from and to no others
///   known EPOCH      for each running daemon, when it first knew the epoch or a newer one (ms), or -1
///   values           for each running daemon, EPOCH:FINGERPRINT of its metadata
///   state            messages sent, messages dropped, daemons that went back in epochs
int run_hollow_daemons(const FleetOptions& options, int first);

}  // namespace mosskeel::scale
