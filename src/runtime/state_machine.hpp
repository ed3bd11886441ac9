#pragma once
// Interface of a daemon's protocol as a deterministic state machine without threads, clocks, sockets or files. `Host`
// runs it on real ones, the simulator and the model checker on virtual ones.
#include <random>

#include "base/log.hpp"
#include "messages/constants.hpp"
#include "messages/message.hpp"
#include "runtime/constants.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// The effects that one step of a state machine requests from its host.
struct Actions {
  /// Records to append to the journal, in order.
  std::vector<std::string> journal;
  /// The complete encoded state, which replaces the journal so far.
  std::optional<std::string> checkpoint;
  /// Messages to send immediately, and messages to send only after the journal so far is durable.
  std::vector<Envelope> now, synced;
  std::vector<LogEntry> notes;
  /// Whether the daemon must exit.
  bool stop = false;
};

/// A daemon's own identity, the seeds, and the settings that its state machine uses.
struct Identity {
  DaemonInfo self{};
  /// Addresses of controllers, used to discover the cluster.
  Addresses seeds;
  uint32_t core_size = 3;
  /// Seed of the state machine's random number generator.
  uint64_t random_seed = 1;
  Duration commit_attempt_timeout = kCommitAttemptTimeout;
  /// Whether founding a cluster is forbidden: a daemon restarted with an empty disk joins an existing cluster or waits.
  bool forbid_founding = false;
  /// See `FoundCluster`.
  uint32_t max_core_size = 0, replication_factor = 0;
};

/// Interface of all daemons' state machines. Not thread-safe; `now` never decreases between calls.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Handles one message.
  virtual Actions step(const Envelope& message, TimePoint now) = 0;
  /// Handles expired timers; called every kTickInterval.
  virtual Actions tick(TimePoint now) = 0;
  /// Returns the latest metadata known to this daemon; never null.
  virtual MetadataSnapshot view() const = 0;
  /// Returns the encoded state that replaying the journal so far produces; empty for daemons without a journal.
  virtual std::string checkpoint() const { return {}; }
};

/// Collects the actions of the current step from the components of a state machine, and wraps messages in envelopes.
/// Owned by the state machine and referenced by its components.
class Outbox {
 public:
  explicit Outbox(const Identity& id) : id_(id), random_(id.random_seed) {}

  const Identity& id() const { return id_; }
  /// Returns the next random number; the sequence is determined by `Identity::random_seed`.
  uint64_t next_random() { return random_(); }
  /// Returns a random delay below `limit`.
  Duration jitter(Duration limit) { return Duration(random_() % static_cast<uint64_t>(limit.count())); }

  /// Sends immediately. A `to_incarnation` of 0 addresses any daemon at that address.
  void send(const Address& to, Message message, Incarnation to_incarnation = {}) {
    actions.now.push_back(wrap(to, std::move(message), to_incarnation));
  }
  /// Sends after everything written to the journal so far is durable.
  void send_synced(const Address& to, Message message, Incarnation to_incarnation = {}) {
    actions.synced.push_back(wrap(to, std::move(message), to_incarnation));
  }
  /// Appends a record to the journal.
  void write(std::string record) { actions.journal.push_back(std::move(record)); }
  void log_event(Event event, std::string text) { actions.notes.push_back({event, std::move(text)}); }

  /// Returns the actions of this step and clears them for the next one.
  Actions take() { return std::exchange(actions, {}); }

  Actions actions;
  /// Added to each message: the cluster id (0 until it is known) and the sender's current epoch.
  uint64_t cluster = 0;
  Epoch epoch{};

 private:
  Envelope wrap(const Address& to, Message message, Incarnation to_incarnation) {
    Envelope envelope{};
    envelope.protocol = kProtocolRevision;
    envelope.cluster = cluster;
    envelope.epoch = epoch;
    envelope.id = random_();
    envelope.from = id_.self.address;
    envelope.from_incarnation = id_.self.incarnation;
    envelope.to = to;
    envelope.to_incarnation = to_incarnation;
    envelope.body = std::move(message);
    return envelope;
  }

  Identity id_;
  std::mt19937_64 random_;
};

}  // namespace mosskeel
