#pragma once
// The driver's side of a process of hollow daemons (hollow_daemons.hpp), and what processes use of the machine.
#include <sys/types.h>

#include "scale/fleet_options.hpp"

namespace mosskeel::scale {

/// Owns a child process, to which it talks over pipes; kills it at its own end.
class HollowProcess {
 public:
  /// Starts the process of the hollow daemons from this number on.
  HollowProcess(const FleetOptions& options, int first);
  ~HollowProcess();
  HollowProcess(const HollowProcess&) = delete;
  HollowProcess& operator=(const HollowProcess&) = delete;

  /// The answer to a command, without its line end; empty if the process is gone.
  std::string execute(const std::string& command);
  /// "start" or "stop" for all its daemons.
  void execute_for_all(const std::string& command);
  int daemon_count() const { return daemon_count_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
  int daemon_count_ = 0;
  int input_ = -1;
  int output_ = -1;
  /// Read, and not yet asked for.
  std::string unread_;
};

struct ProcessUsage {
  double cpu_seconds = 0;
  double resident_megabytes = 0;
};
/// Zeros where there is no such process.
ProcessUsage process_usage(pid_t pid);

}  // namespace mosskeel::scale
