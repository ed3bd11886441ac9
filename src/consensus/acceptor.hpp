#pragma once
// The Paxos acceptor. One instance is open at a time: the epoch that follows the last decided one.
#include "consensus/controller_records.hpp"

namespace mosskeel {

/// Serves all instances, one after the other: deciding the entry of epoch n opens instance n + 1 and discards the
/// promise and the accepted proposal of instance n.
///
/// Invariant: a promise or an acceptance is sent only after its journal record is synced, so a restart never revokes
/// one. Owned by `ControllerMachine` and used on its thread only.
class Acceptor {
 public:
  Acceptor(Outbox& outbox, MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Phase 1: promises to reject lower ballots and reports the proposal accepted so far.
  void handle(const Envelope& envelope, const Prepare& prepare);
  /// Phase 2: accepts the proposal unless a higher ballot was promised.
  void handle(const Envelope& envelope, const Accept& accept);

  /// Whether a proposal has been accepted in the open instance. It may already be decided without this acceptor
  /// knowing.
  bool has_accepted() const { return accepted_.has_value(); }
  /// The highest ballot promised in the open instance.
  Ballot promised() const { return promised_; }
  /// Opens the next instance. Called when the metadata log advances to a later epoch.
  void reset() {
    promised_ = {};
    accepted_.reset();
  }

  /// Restore persisted state; records must be replayed in the order in which they were written.
  void recover(const ControllerCheckpoint& checkpoint);
  void recover(const PromiseRecord& record);
  void recover(const AcceptRecord& record);
  void save(ControllerCheckpoint& checkpoint) const;

 private:
  /// Whether this controller is an acceptor of the instance of `epoch` and that instance is open. Otherwise sends a
  /// lagging proposer the updates it lacks, or requests updates from a proposer that is ahead.
  bool accepts_instance(const Envelope& envelope, Epoch epoch);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  /// The highest ballot promised or accepted in the open instance; zero if there is none.
  Ballot promised_{};
  /// The accepted proposal with the highest ballot in the open instance.
  std::optional<AcceptedProposal> accepted_;
};

}  // namespace mosskeel
