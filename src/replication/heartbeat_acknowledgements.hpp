#pragma once
// What the answers to a daemon's heartbeats prove: contact with a majority, and that its epoch is not behind.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// A time before all others: no contact yet.
constexpr TimePoint kNeverAcknowledged = kLongAgo;

/// Where a daemon receives the heartbeats and entries of others: a gateway at its agent.
const Address& heartbeat_address(const Daemon& daemon);

/// Keeps, for each daemon, when the last heartbeat was sent that it answered. Times count from the sending, so that a
/// process that was frozen does not mistake old answers for new ones. Nothing is on disk.
class HeartbeatAcknowledgements {
 public:
  /// Both references must outlive this.
  HeartbeatAcknowledgements(const MetadataLog& metadata_log, const DaemonInfo& self, TimePoint started_at)
      : metadata_log_(metadata_log), self_(self), started_at_(started_at) {}

  /// Counts an answer to the heartbeat that was sent at `sent`. One that names an epoch that the log does not have yet
  /// counts only with `on_log_advanced` after that epoch.
  void record(const Address& from, Incarnation incarnation, Epoch epoch, TimePoint sent);
  /// Counts the answers that waited for the epochs that the log has now.
  void on_log_advanced();

  /// The latest time at which a majority of the core, this daemon left out, is known to have been in contact.
  TimePoint last_core_contact() const;
  /// The same for a majority of the core, or one of all quorum members and one of their stores, whichever is later.
  /// Acknowledgements rest on a majority of the core and one of the other two (`Metadata::has_quorum`), so both are
  /// needed where the core is missing.
  TimePoint last_majority_contact() const;
  /// Whether a majority of the core has answered since the start, none of them with a later epoch than ours.
  bool confirmed() const { return confirmed_; }

 private:
  struct Acknowledgement {
    TimePoint sent = kNeverAcknowledged;
    Incarnation incarnation{};
  };
  struct EarlyAcknowledgement {
    Acknowledgement acknowledgement;
    Epoch epoch;
  };
  void count(const Address& from, const Acknowledgement& acknowledgement);
  TimePoint majority_time(const std::vector<DaemonId>& daemons) const;
  /// When majorities of a set of quorum members and of the stores among them were in contact; of the whole set alone
  /// where it has no stores.
  TimePoint fleet_contact(const std::vector<DaemonId>& quorum_members) const;

  const MetadataLog& metadata_log_;
  const DaemonInfo& self_;
  const TimePoint started_at_;
  std::map<Address, Acknowledgement> acknowledgements_;
  /// Answers that name an epoch which the log does not have yet; of each daemon the first one.
  std::map<Address, EarlyAcknowledgement> early_;
  bool confirmed_ = false;
};

}  // namespace mosskeel
