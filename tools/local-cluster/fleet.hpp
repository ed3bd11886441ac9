#pragma once
// A whole fleet on one machine: which processes there are, how they start and stop, and the faults that they are put
// through.
#include <sys/types.h>

#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel::local_cluster {

/// How many processes of each kind there are, and where they live.
struct Plan {
  int controllers = 3;
  int gateways = 6;
  int stores = 3;
  /// Stand-in replicas of both kinds.
  int models = 9;
  int apps = 3;
  int zones = 3;
  /// For data and logs.
  std::string folder;
  /// Where the programs are.
  std::string program_folder;
  /// Milliseconds between a model's chunks.
  std::string model_chunk_interval = "20";
  int first_port = 21000;
};

/// A first port with this many free ones behind it, and one before it.
int find_free_ports(int count);

/// One process of the fleet, running or not.
struct Process {
  std::string name;
  std::string program;
  std::vector<std::string> arguments;
  Address listen_address;
  Address http_address;
  std::string zone;
  std::string data_folder;
  /// 0 while it does not run.
  pid_t pid = 0;
  bool frozen = false;
};

/// Owns the processes and kills them at its end. Any thread may call it.
class Fleet {
 public:
  explicit Fleet(Plan plan);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Errors start_all();
  /// Does "kill", "freeze", "wake", "stop", "start" or "wipe" to the process of this name.
  Errors act(const std::string& action, const std::string& name);
  std::vector<Process> list();
  /// HTTP addresses.
  std::vector<Address> controllers();
  /// Tells the controllers about the replicas and applies the first configuration.
  Errors configure();

 private:
  void add_controllers();
  void add_stores();
  void add_gateways();
  void add_replicas(const std::string& kind, int count, const std::string& chunk_interval);
  Process& add(const std::string& name, const std::string& program, int zone);
  Address next_address();

  Errors spawn(Process& process);
  Errors start(Process& process);
  Errors wipe(Process& process);
  /// Kills a running process and waits for its end.
  static void kill(Process& process);
  /// Notes which processes have ended.
  void reap();

  Plan plan_;
  int next_port_;
  /// The addresses that all daemons are given to find the core.
  std::string seeds_;
  std::mutex mutex_;
  std::vector<Process> processes_;
};

}  // namespace mosskeel::local_cluster
