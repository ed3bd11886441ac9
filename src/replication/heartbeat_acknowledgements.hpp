#pragma once
// Evaluates the replies to a daemon's heartbeats: whether it is in contact with a majority and has the newest epoch.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Earlier than any other time: no contact yet.
constexpr TimePoint kNeverAcknowledged = kLongAgo;

/// The address at which a daemon receives heartbeats and entries from others; for a gateway, its agent's address.
const Address& heartbeat_address(const Daemon& daemon);

/// Records, for each daemon, the send time of the last heartbeat that it answered. Send times are used so that a
/// process that was suspended does not mistake old replies for new ones. Not persisted.
class HeartbeatAcknowledgements {
 public:
  /// Both references must outlive this.
  HeartbeatAcknowledgements(const MetadataLog& metadata_log, const DaemonInfo& self, TimePoint started_at)
      : metadata_log_(metadata_log), self_(self), started_at_(started_at) {}

  /// Records a reply to the heartbeat that was sent at `sent`. A reply with an epoch that the log does not have yet is
  /// counted only by `on_log_advanced`, once the log has reached that epoch.
  void record(const Address& from, Incarnation incarnation, Epoch epoch, TimePoint sent);
  /// Counts the replies whose epochs the log has now reached.
  void on_log_advanced();

  /// The latest time at which a majority of the core, excluding this daemon, is known to have been in contact.
  TimePoint last_core_contact() const;
  /// The same for a majority of the core, or for majorities of both the quorum members and their stores, whichever is
  /// later. A change is acknowledged by a majority of the core and one of the other two (`Metadata::has_quorum`), so
  /// both of these are needed if the core is unreachable.
  TimePoint last_majority_contact() const;
  /// Whether a majority of the core has answered since the start, and none of these with a later epoch than the log's.
  bool confirmed() const { return confirmed_; }

 private:
  struct Acknowledgement {
    TimePoint sent = kNeverAcknowledged;
    Incarnation incarnation{};
  };
  struct PendingAcknowledgement {
    Acknowledgement acknowledgement;
    Epoch epoch;
  };
  void count(const Address& from, const Acknowledgement& acknowledgement);
  TimePoint majority_time(const std::vector<DaemonId>& daemons) const;
  /// When majorities of a set of quorum members and of the stores among them were last in contact; only of the whole
  /// set if it has no stores.
  TimePoint fleet_contact(const std::vector<DaemonId>& quorum_members) const;

  const MetadataLog& metadata_log_;
  const DaemonInfo& self_;
  const TimePoint started_at_;
  std::map<Address, Acknowledgement> acknowledgements_;
  /// Replies with an epoch that the log does not have yet; the first one of each daemon.
  std::map<Address, PendingAcknowledgement> pending_;
  bool confirmed_ = false;
};

}  // namespace mosskeel
