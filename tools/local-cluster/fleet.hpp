#pragma once
// A whole fleet on one machine: which processes there are, and their lives.
#include <sys/types.h>

#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel::local_cluster {

struct Plan {
  int controllers = 3, fronts = 6, stores = 3, models = 9, apps = 3, zones = 3;
  std::string dir, bin, pace = "20";
  int base = 21000;
};

/// A first port with this many free ones behind it.
int free_base(int ports);

struct Proc {
  std::string name, program;
  std::vector<std::string> args;
  Address listen, http;
  std::string zone, data;
  pid_t pid = 0;
  bool frozen = false;
};

class Fleet {
 public:
  explicit Fleet(Plan p);
  ~Fleet();
  Errors start_all();
  /// kill, freeze, wake, stop, start, wipe; the finding says why not.
  Errors act(const std::string& what, const std::string& name);
  std::vector<Proc> list();
  std::vector<Address> controllers();
  /// Tells the platform side of the core about the replicas, and applies the first configuration.
  Errors introduce();

 private:
  Errors spawn(Proc& p);
  void reap();
  Proc& add(const std::string& name, const std::string& program, int zone);
  Address port() { return "127.0.0.1:" + std::to_string(next_++); }
  Plan plan_;
  int next_;
  std::mutex m_;
  std::vector<Proc> procs_;
};

}  // namespace mosskeel::local_cluster
