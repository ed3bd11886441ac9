#pragma once
// A protocol as a state machine: no thread, clock, socket or file of its own.
#include <random>

#include "base/log.hpp"
#include "messages/constants.hpp"
#include "messages/message.hpp"
#include "runtime/constants.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// What a step wants done. `synced` leaves only once the journal so far is on disk.
struct Actions {
  std::vector<std::string> journal;
  std::optional<std::string> checkpoint;
  std::vector<Envelope> now, synced;
  std::vector<Note> notes;
  bool stop = false;
};

/// The settings of a daemon: who it is and where others are.
struct Identity {
  Candidate self;
  Addresses seeds;
  uint32_t core_size = 3;
  uint64_t dice = 1;
  Millis commit_attempt_timeout = kCommitAttemptTimeout;
  /// Forbids founding: an empty disk at a later start joins or waits.
  bool later_start = false;
  /// As in `FoundCluster`.
  uint32_t max_core_size = 0, replication_factor = 0;
};

/// One interface for all daemons, driven alike by the hosts and the simulator.
class Machine {
 public:
  virtual ~Machine() = default;
  virtual Actions step(const Envelope& e, Millis now) = 0;
  virtual Actions tick(Millis now) = 0;
  /// The metadata as this daemon knows it.
  virtual View view() const = 0;
  /// All that the journal so far says, or nothing where no journal is kept.
  virtual std::string checkpoint() const { return {}; }
};

/// Collects the actions of the step under way, for the parts a machine is made of.
class Outbox {
 public:
  explicit Outbox(const Identity& id) : id_(id), dice_(id.dice) {}
  const Identity& id() const { return id_; }
  uint64_t roll() { return dice_(); }
  Millis jitter(Millis upto) { return static_cast<Millis>(dice_() % static_cast<uint64_t>(upto)); }
  void send(const Address& to, Message m, Incarnation to_inc = {}) {
    act.now.push_back(wrap(to, std::move(m), to_inc));
  }
  void send_synced(const Address& to, Message m, Incarnation to_inc = {}) {
    act.synced.push_back(wrap(to, std::move(m), to_inc));
  }
  void write(std::string record) { act.journal.push_back(std::move(record)); }
  void note(Event e, std::string text) { act.notes.push_back({e, std::move(text)}); }
  Actions take() { return std::exchange(act, {}); }
  Actions act;
  uint64_t cluster = 0;
  Epoch epoch{};

 private:
  Envelope wrap(const Address& to, Message m, Incarnation to_inc) {
    return {kProtocolRevision,    cluster, epoch,  dice_(),     id_.self.address,
            id_.self.incarnation, to,      to_inc, std::move(m)};
  }
  Identity id_;
  std::mt19937_64 dice_;
};

}  // namespace mosskeel
