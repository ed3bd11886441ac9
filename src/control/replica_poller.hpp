#pragma once
// Service discovery: updates the replicas in the metadata log from the platform's replica list.
#include <thread>

#include "control/control_session.hpp"
#include "control/replica_list_client.hpp"
#include "metadata/replica_list_reconciler.hpp"

namespace mosskeel {

/// Polls the replica list on its own thread while this controller holds the supervisor lease, and commits the
/// differences from the metadata log, with all changes of a poll in one epoch.
class ReplicaPoller {
 public:
  /// Polls `address` (IP:port) until destruction.
  ReplicaPoller(ControllerAccess& controller, const ControlProtocol& protocol, Address address);

 private:
  void run(const std::stop_token& stop);
  void poll(const std::stop_token& stop);
  bool holds_supervisor_lease();
  /// Returns the state machine's metadata, or null if it has stopped.
  MetadataSnapshot view();

  ControllerAccess& controller_;
  ReplicaListClient client_;
  /// State from earlier polls; used only by the poller's thread.
  ReplicaListReconciler reconciler_;
  /// Must be the last member: its destructor stops and joins the thread before the other members are destroyed.
  std::jthread thread_;
};

}  // namespace mosskeel
