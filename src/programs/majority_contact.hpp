#pragma once
// Whether a gateway knows the cluster well enough to dispatch requests.
#include <optional>

#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Tracks until when this gateway may dispatch. It may while a majority of the core, or of all daemons that count,
/// answered a heartbeat that its agent sent less than kIsolationTimeout ago, and while it does not lack an epoch that
/// it has heard of for longer than half of that. Both rest on this process's own clock: times count from a heartbeat's
/// sending, so a process that was frozen does not mistake old answers for new ones.
///
/// Owned by GatewayMachine and used in its thread only; nothing is on disk.
class MajorityContact {
 public:
  explicit MajorityContact(const MetadataLog& metadata_log) : metadata_log_(metadata_log) {}

  /// The agent's answer to a heartbeat of ours; entries that came with it are in the metadata log already.
  void on_heartbeat_reply(const HeartbeatReply& reply, TimePoint now);
  /// A message was stamped with this epoch.
  void on_epoch_seen(Epoch epoch, TimePoint now);
  /// The metadata log has grown.
  void on_epochs_applied(TimePoint now);

  /// When dispatching must stop unless a newer contact or the missing epoch comes before.
  TimePoint valid_until() const;
  /// Whether requests may be dispatched now.
  bool is_valid(TimePoint now) const { return now < valid_until(); }
  /// Whether the core has confirmed since this process started that our epoch was its newest.
  bool is_confirmed() const { return is_confirmed_; }

 private:
  /// The first epoch seen that this gateway does not have, and since when it lacks it.
  struct MissingEpoch {
    Epoch epoch{};
    TimePoint since{};
  };
  /// A majority contact at an epoch that this gateway does not have yet: it counts once the epoch is there.
  struct EarlyContact {
    Epoch epoch{};
    TimePoint at{};
  };

  const MetadataLog& metadata_log_;
  /// The latest time at which a majority is known to have been in contact with us.
  TimePoint last_contact_ = kLongAgo;
  Epoch newest_seen_{};
  std::optional<MissingEpoch> missing_epoch_;
  /// The first one is kept, so that later ones cannot postpone it for ever.
  std::optional<EarlyContact> early_contact_;
  bool is_confirmed_ = false;
};

}  // namespace mosskeel
