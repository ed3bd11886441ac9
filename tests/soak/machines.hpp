#pragma once
// The machines of the fleet under test, each with its daemons.
#include <functional>
#include <memory>
#include <vector>

#include "platform_stub/fleet_addresses.hpp"
#include "soak/daemon_process.hpp"

namespace mosskeel::soak {

enum class MachineClass { core, storage, front };

/// All classes, in the order in which their machines are started.
inline constexpr MachineClass kMachineClasses[] = {MachineClass::core, MachineClass::storage, MachineClass::front};

/// Which machine of the fleet.
struct MachineId {
  MachineClass machine_class = MachineClass::core;
  /// Counted from 0 within its class.
  int index = 0;
  auto operator<=>(const MachineId&) const = default;
};

/// As in "storage-2".
std::string name(MachineId machine);

/// How the fleet's machines are built up.
struct MachinesOptions {
  /// The folder of the daemons' programs.
  std::string programs;
  /// For settings, data and logs.
  std::string folder;
  platform_stub::FleetSize size;
  /// Whether the kernel holds each daemon to the limits that its settings name. Sanitizers need more.
  bool enforce_limits = true;
};

/// The machines of each class, spread over the zones. Signals, starts and losses concern all daemons of a machine.
class Machines {
 public:
  /// Writes the settings of all daemons into the folder.
  explicit Machines(const MachinesOptions& options);

  /// The first start of the whole fleet.
  void start_all();
  /// Starts a machine on what its disk holds.
  void start(MachineId machine);
  void send_signal(MachineId machine, int signal_number);
  /// Whether the newest processes are past the kernel's part of their start: what a signal does is up to the program.
  bool have_begun(MachineId machine);
  void kill(MachineId machine);
  /// Sends SIGKILL, and does not wait for the end.
  void kill_without_waiting(MachineId machine);
  /// Kills the processes that were started before the newest ones. Whether any still ran.
  bool kill_older(MachineId machine);
  /// Whether processes that were started before the newest ones still run.
  bool has_older(MachineId machine);
  /// Empties the disk of a machine that does not run.
  void lose_disk(MachineId machine);
  /// Whether any newest process of the machine's daemons runs or is frozen.
  bool is_running(MachineId machine);
  /// Tells all daemons to stop.
  void stop_all();
  /// Daemons with a process that runs or is frozen.
  std::vector<std::string> running_daemons();
  /// Processes that ended by themselves, or in another way than they were told; each is returned once.
  std::vector<std::string> take_unexpected_ends();
  /// Starts of processes so far.
  int starts() const;
  int starts(MachineId machine) const;
  const platform_stub::FleetAddresses& addresses() const { return addresses_; }
  int machine_count(MachineClass machine_class) const;

  /// The sums of all daemons of one class.
  size_t resident_bytes(MachineClass machine_class);
  size_t open_descriptors(MachineClass machine_class);
  /// Whether the newest process of each daemon runs.
  bool are_all_running(MachineId machine);
  /// Bytes of memory that the largest process holds.
  size_t largest_resident_bytes(MachineClass machine_class);
  /// The most bytes that a process which runs has held at any time.
  size_t peak_resident_bytes(MachineClass machine_class);
  /// The processes that run.
  std::vector<pid_t> processes(MachineClass machine_class);
  /// The last lines of all logs, for a run that failed.
  void print_logs() const;

 private:
  void for_each(MachineClass machine_class, const std::function<void(DaemonProcess&)>& function);
  /// A daemon by its name, a program and a digit as in "store2".
  struct Daemon {
    std::string name;
    std::unique_ptr<DaemonProcess> process;
  };
  static std::vector<std::string> programs_of(MachineClass machine_class);
  void add_machine(MachineId machine, const MachinesOptions& options);
  std::vector<Daemon>& daemons(MachineId machine) { return daemons_.at(machine); }
  /// Every start but the first one is no first start.
  void mark_started(const Daemon& daemon) const;
  std::string settings_path(const std::string& daemon) const;

  const std::string folder_;
  platform_stub::FleetAddresses addresses_;
  std::map<MachineId, std::vector<Daemon>> daemons_;
};

}  // namespace mosskeel::soak
