#pragma once
// Service discovery: brings the replicas in the metadata log up to a platform's list of them.
#include <thread>

#include "control/control_session.hpp"
#include "control/replica_list_client.hpp"
#include "metadata/replica_list_reconciler.hpp"

namespace mosskeel {

/// Reads the replica list on a thread of its own while this controller holds the supervisor lease, and commits what
/// the log lacks of it, each reading in one epoch.
class ReplicaPoller {
 public:
  /// Polls at `address` (IP:port) until it is destroyed.
  ReplicaPoller(ControllerAccess& controller, const ControlProtocol& protocol, Address address);

 private:
  void run(const std::stop_token& stop);
  void poll(const std::stop_token& stop);
  bool holds_supervisor_lease();
  /// Null where the state machine has stopped.
  MetadataSnapshot view();

  ControllerAccess& controller_;
  ReplicaListClient client_;
  /// The state of earlier readings; used by the poller's thread alone.
  ReplicaListReconciler reconciler_;
  /// The last member: its destructor stops and joins the thread before the others go.
  std::jthread thread_;
};

}  // namespace mosskeel
