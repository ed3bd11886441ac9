#pragma once
// A daemon's protocol as a state machine: no thread, clock, socket or file of its own. Hosts drive it on real ones,
// the simulator and the model checker on virtual ones.
#include <random>

#include "base/log.hpp"
#include "messages/constants.hpp"
#include "messages/message.hpp"
#include "runtime/constants.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// What a step wants done.
struct Actions {
  /// Records for the journal, in order.
  std::vector<std::string> journal;
  /// The whole state encoded, to stand for the journal so far.
  std::optional<std::string> checkpoint;
  /// Messages that may leave at once, and those that leave only when the journal so far is durable.
  std::vector<Envelope> now, synced;
  std::vector<LogEntry> notes;
  /// The daemon is to end.
  bool stop = false;
};

/// The settings of a daemon: who it is and where others are.
struct Identity {
  DaemonInfo self{};
  /// Addresses of controllers to find the cluster by.
  Addresses seeds;
  uint32_t core_size = 3;
  /// Seed of the state machine's random numbers.
  uint64_t random_seed = 1;
  Duration commit_attempt_timeout = kCommitAttemptTimeout;
  /// Forbids founding: an empty disk at a later start joins or waits.
  bool forbid_founding = false;
  /// As in `FoundCluster`.
  uint32_t max_core_size = 0, replication_factor = 0;
};

/// The interface of all daemons. One thread at a time; `now` never decreases from call to call.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Handles one message.
  virtual Actions step(const Envelope& message, TimePoint now) = 0;
  /// Looks at timers; called each kTickInterval.
  virtual Actions tick(TimePoint now) = 0;
  /// The metadata as this daemon knows it; never null.
  virtual MetadataSnapshot view() const = 0;
  /// The encoded state that the journal so far adds up to; empty where no journal is kept.
  virtual std::string checkpoint() const { return {}; }
};

/// Collects the actions of the step under way for the parts that a state machine is made of, and gives messages their
/// envelope. Owned by the state machine, referenced by its parts.
class Outbox {
 public:
  explicit Outbox(const Identity& id) : id_(id), random_(id.random_seed) {}

  const Identity& id() const { return id_; }
  /// The next random number; deterministic by `Identity::random_seed`.
  uint64_t next_random() { return random_(); }
  /// A random delay below `limit`.
  Duration jitter(Duration limit) { return Duration(random_() % static_cast<uint64_t>(limit.count())); }

  /// Sends at once. `to_incarnation` 0 means whoever has the address.
  void send(const Address& to, Message message, Incarnation to_incarnation = {}) {
    act.now.push_back(wrap(to, std::move(message), to_incarnation));
  }
  /// Sends once all that was written to the journal so far is durable.
  void send_synced(const Address& to, Message message, Incarnation to_incarnation = {}) {
    act.synced.push_back(wrap(to, std::move(message), to_incarnation));
  }
  /// Appends a record to the journal.
  void write(std::string record) { act.journal.push_back(std::move(record)); }
  void log_event(Event event, std::string text) { act.notes.push_back({event, std::move(text)}); }

  /// The actions of this step; the next one starts empty.
  Actions take() { return std::exchange(act, {}); }

  Actions act;
  /// Stamped on each message: the cluster's id (0 before it is known) and the epoch that the sender knows.
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
