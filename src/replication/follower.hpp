#pragma once
// How a daemon outside the core finds it, registers, keeps in touch and catches up.
#include "replication/metadata_log.hpp"

namespace mosskeel {

class Follower {
 public:
  Follower(Outbox& out, MetadataLog& metadata_log, Millis now) : out_(out), metadata_log_(metadata_log), born_(now) {}

  /// Handles what concerns following; false leaves the message to the caller.
  bool handle(const Envelope& e, Millis now);
  /// Speaks for this candidate, itself or the gateway beside it.
  void tick(Millis now, const Heartbeat* mine);
  /// Asks that everybody be told at once, because something they wait for is done.
  void send_heartbeat_soon() { next_beat_ = 0; }
  /// The latest time at which we are sure to have been in touch with a majority.
  Millis last_majority_contact(Millis now) const;
  /// True once a majority of the core has shown no later epoch than ours.
  bool confirmed() const { return confirmed_; }
  /// Whether what we say of our epoch outlives this process: on disk, or confirmed by the core since its start.
  bool reports_stable_epoch() const { return durable_ ? out_.cluster != 0 : confirmed_; }
  /// A daemon with a disk speaks of its epoch only once that is synced.
  void report_durable_epochs_only() { durable_ = true; }
  /// Parks a message stamped with an epoch we do not know yet; asks its sender for the entries, not too often.
  bool defer(const Envelope& e, Millis now);
  std::vector<Envelope> take_deferred();
  bool is_foreign(const Envelope& e) const;
  /// Entries and values newly taken, for those who keep copies.
  std::function<void(const Entry&)> on_entry;
  std::function<void(const Metadata&)> on_snapshot;
  void apply_updates(const Entries& v, const std::optional<Metadata>& c);

 private:
  /// When a heartbeat was sent that somebody answered, and who it was.
  struct Voice {
    Millis sent = INT64_MIN / 2;
    Incarnation incarnation{};
  };
  using Voices = std::map<Address, Voice>;
  /// An answer that named an epoch which we did not have yet: it counts once we have it.
  struct EarlyVoice {
    Voice voice;
    Epoch epoch;
  };
  void hear(const Address& from, const Voice& v);
  void hear_early();
  static Millis majority_time(const Metadata& m, const std::vector<DaemonId>& v, const Voices& heard,
                              const Candidate& but);
  void tell(const Address& to, Message m);
  void discover(Millis now);
  void enroll(Millis now, const Candidate& c);
  Outbox& out_;
  MetadataLog& metadata_log_;
  Millis born_, next_discover_ = 0, next_beat_ = 0, next_peers_ = 0, next_enroll_ = 0;
  CatchupRateLimiter pace_;
  Epoch beaten_{}, vacated_{};
  size_t turn_ = 0;
  bool confirmed_ = false, durable_ = false;
  std::optional<DaemonState> enrolled_;
  Voices heard_;
  std::map<Address, EarlyVoice> early_;
  std::vector<Envelope> parked_;
};

}  // namespace mosskeel
