#pragma once
// How a daemon outside the core finds it, registers, keeps in contact and catches up.
#include "replication/heartbeat_acknowledgements.hpp"
#include "replication/registration.hpp"

namespace mosskeel {

/// The link of an agent, a gateway or a store to the core. It keeps the metadata log up to date and sends heartbeats;
/// the daemon's state machine owns it, calls it from its own steps and passes on what it does not handle.
class Follower {
 public:
  /// Called for each entry and each snapshot that the log took; either may be empty.
  struct Callbacks {
    std::function<void(const Entry&)> on_entry;
    std::function<void(const Metadata&)> on_snapshot;
  };

  /// Both references must outlive this. The callbacks are called from `handle` and `apply_updates` only, never from
  /// the constructor.
  Follower(Outbox& outbox, MetadataLog& metadata_log, TimePoint now, Callbacks callbacks = {})
      : outbox_(outbox),
        metadata_log_(metadata_log),
        callbacks_(std::move(callbacks)),
        started_at_(now),
        acknowledgements_(metadata_log, outbox.id().self, now),
        registration_(outbox, metadata_log) {}

  /// Handles messages of discovery, catch-up and heartbeats; false leaves the message to the caller.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Sends what is due. `own_heartbeat` speaks for the daemon that is to be registered, this one or the gateway beside
  /// it; null where there is none to speak for.
  void tick(TimePoint now, const Heartbeat* own_heartbeat);
  /// Makes the next tick send heartbeats, because something that others wait for is done.
  void send_heartbeat_soon() { next_heartbeat_at_ = {}; }

  /// Whether a message is meant for another incarnation or comes from another cluster.
  bool is_foreign(const Envelope& envelope) const;
  /// Keeps a message that is stamped with an epoch which the log does not have yet, and requests the entries from its
  /// sender. False where there is nothing to wait for.
  bool defer(const Envelope& envelope, TimePoint now);
  /// The kept messages whose epochs the log has now.
  std::vector<Envelope> take_deferred();

  /// Takes entries, and a snapshot where it is newer, into the log.
  void apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot);

  /// A daemon that journals the log reports an epoch only once it is synced.
  void report_durable_epochs_only() { is_durable_ = true; }

 private:
  bool handle_discover(const Envelope& envelope);
  bool handle_discover_reply(const Envelope& envelope, const DiscoverReply& reply);
  bool handle_decided(const Envelope& envelope, const Decided& decided, TimePoint now);
  bool handle_catchup(const Envelope& envelope, const Catchup& request);
  bool handle_heartbeat(const Envelope& envelope, const Heartbeat& heartbeat, TimePoint now);
  bool handle_heartbeat_reply(const Envelope& envelope, const HeartbeatReply& reply, TimePoint now);

  void send_discovery(TimePoint now);
  void send_heartbeats(const Heartbeat& heartbeat, TimePoint now);
  void request_catchup(const Address& from, TimePoint now);
  void send_report(const Address& to, Message message);
  /// Whether an epoch that we report outlives this process: on disk, or confirmed by the core since the start.
  bool reports_stable_epoch() const { return is_durable_ ? outbox_.cluster != 0 : acknowledgements_.confirmed(); }

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  const Callbacks callbacks_;
  const TimePoint started_at_;
  HeartbeatAcknowledgements acknowledgements_;
  Registration registration_;
  CatchupRateLimiter catchup_limiter_;
  TimePoint next_discovery_at_{};
  TimePoint next_heartbeat_at_{};
  TimePoint next_fleet_heartbeat_at_{};
  /// The epoch of the last heartbeat; a new one is reported at once.
  Epoch last_heartbeat_epoch_{};
  bool is_durable_ = false;
  std::vector<Envelope> deferred_;
};

}  // namespace mosskeel
