#pragma once
// How a daemon outside the core discovers the core, registers, stays in contact and catches up.
#include "replication/heartbeat_acknowledgements.hpp"
#include "replication/registration.hpp"

namespace mosskeel {

/// Connects an agent, a gateway or a store to the core: keeps the metadata log up to date and sends heartbeats. The
/// daemon's state machine owns it, calls it from its own steps and handles the remaining messages itself.
class Follower {
 public:
  /// Called for each entry and each snapshot applied to the log; either may be empty.
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

  /// Handles discovery, catch-up and heartbeat messages. Returns false if the caller has to handle the message.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Sends discovery messages, registration requests and heartbeats that are due. `own_heartbeat` describes the daemon
  /// to be registered, this one or an agent's gateway; null if there is none.
  void tick(TimePoint now, const Heartbeat* own_heartbeat);
  /// Makes the next tick send heartbeats, to report progress that other daemons wait for.
  void send_heartbeat_soon() { next_heartbeat_at_ = {}; }

  /// Whether a message is addressed to another incarnation or comes from another cluster.
  bool is_foreign(const Envelope& envelope) const;
  /// Defers a message that carries a later epoch than the log's, and requests the missing entries from its sender.
  /// Returns false if the message can be handled now.
  bool defer(const Envelope& envelope, TimePoint now);
  /// Removes and returns the deferred messages whose epochs the log has reached.
  std::vector<Envelope> take_deferred();

  /// Applies entries to the log, and a snapshot if it is newer.
  void apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot);

  /// Makes reports wait until the journal is synced; for daemons that journal the log.
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
  /// Whether reported epochs survive a restart of this process or were confirmed by the core since its start.
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
  /// The epoch in the last heartbeat; a newer epoch is reported at once.
  Epoch last_heartbeat_epoch_{};
  bool is_durable_ = false;
  std::vector<Envelope> deferred_;
};

}  // namespace mosskeel
