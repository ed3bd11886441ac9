#pragma once
// Reads the list of replicas while this controller holds the supervisor lease, and brings the log up to it.
#include <thread>

#include "control/admin_api.hpp"
#include "metadata/replica_list_reconciler.hpp"

namespace mosskeel {

class ReplicaPoller {
 public:
  /// Reads at `address` in the way that `dialect` tells, with one thread.
  ReplicaPoller(Host& h, AdminApi& admin_api, const ControlProtocol& dialect, Address address);
  ~ReplicaPoller();

 private:
  void run();
  void beat();
  /// The whole list, or nothing where any page failed.
  std::optional<std::vector<Replica>> read();
  std::optional<std::string> page(const std::string& path);
  Host& host_;
  AdminApi& desk_;
  const ControlProtocol& dialect_;
  Address address_;
  ReplicaListReconciler listing_;
  std::unique_ptr<void, void (*)(void*)> web_;
  Queue<bool> halt_;
  std::string failed_;
  std::thread thread_;
};

}  // namespace mosskeel
