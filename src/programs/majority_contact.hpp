#pragma once
// Tracks whether a gateway's view of the cluster is recent enough to dispatch requests.
#include <optional>

#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Tracks until when this gateway may dispatch requests. It may while a majority of the core, or of all daemons that
/// count, has answered a heartbeat that its agent sent less than kIsolationTimeout ago, and while it has not lacked an
/// epoch that it has seen for more than half of that time. Both use this process's own clock, and times count from when
/// a heartbeat was sent, so that a process that was frozen does not mistake old replies for new ones.
///
/// Owned by GatewayMachine; used only on its thread. Stores nothing on disk.
class MajorityContact {
 public:
  explicit MajorityContact(const MetadataLog& metadata_log) : metadata_log_(metadata_log) {}

  /// Handles the agent's reply to a heartbeat of this gateway; entries in it must already be in the metadata log.
  void on_heartbeat_reply(const HeartbeatReply& reply, TimePoint now);
  /// Handles a message that is stamped with this epoch.
  void on_epoch_seen(Epoch epoch, TimePoint now);
  /// Handles new entries in the metadata log.
  void on_epochs_applied(TimePoint now);

  /// When dispatching must stop unless there is a newer contact, or the missing epoch arrives, before that.
  TimePoint valid_until() const;
  /// Whether requests may be dispatched now.
  bool is_valid(TimePoint now) const { return now < valid_until(); }
  /// Whether the core has confirmed since the start of this process that the gateway's epoch was the newest.
  bool is_confirmed() const { return is_confirmed_; }

 private:
  /// The first epoch that this gateway has seen but does not have, and since when it has lacked it.
  struct MissingEpoch {
    Epoch epoch{};
    TimePoint since{};
  };
  /// A majority contact at an epoch that this gateway does not have yet: it counts once the epoch is applied.
  struct EarlyContact {
    Epoch epoch{};
    TimePoint at{};
  };

  const MetadataLog& metadata_log_;
  /// The latest time at which a majority is known to have been in contact with this gateway.
  TimePoint last_contact_ = kLongAgo;
  Epoch newest_seen_{};
  std::optional<MissingEpoch> missing_epoch_;
  /// Only the first one is kept, so that later ones cannot postpone it indefinitely.
  std::optional<EarlyContact> early_contact_;
  bool is_confirmed_ = false;
};

}  // namespace mosskeel
