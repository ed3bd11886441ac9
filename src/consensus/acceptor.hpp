#pragma once
// The Paxos acceptor of the one open instance: the epoch after the last decided one.
#include "consensus/controller_records.hpp"

namespace mosskeel {

/// One acceptor for all instances in turn: instance n + 1 opens when the entry of epoch n is decided, and what was
/// promised and accepted for n is forgotten then.
///
/// Invariant: neither a promise nor an acceptance leaves this process before its journal record is synced, so a restart
/// never takes one back. Owned by `ControllerMachine` and used on its thread only.
class Acceptor {
 public:
  Acceptor(Outbox& outbox, MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Phase 1: promises to reject lower ballots, and reports the proposal accepted so far.
  void handle(const Envelope& envelope, const Prepare& prepare);
  /// Phase 2: accepts the proposal unless a higher ballot was promised.
  void handle(const Envelope& envelope, const Accept& accept);

  /// Whether a proposal is accepted in the open instance; it may be decided already without this acceptor knowing.
  bool has_accepted() const { return accepted_.has_value(); }
  /// The highest ballot promised in the open instance.
  Ballot promised() const { return promised_; }
  /// Opens the next instance: the metadata log has moved to a later epoch.
  void reset() {
    promised_ = {};
    accepted_.reset();
  }

  /// Take up what an earlier process kept on disk, in the order in which it was written.
  void recover(const ControllerCheckpoint& checkpoint);
  void recover(const PromiseRecord& record);
  void recover(const AcceptRecord& record);
  void save(ControllerCheckpoint& checkpoint) const;

 private:
  /// Whether this controller is an acceptor of the instance of `epoch` and that instance is open. Otherwise a proposer
  /// that is behind is sent what it lacks, and one that is ahead is asked for it.
  bool accepts_instance(const Envelope& envelope, Epoch epoch);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  /// The highest ballot of the open instance that was promised or accepted; zero where there was none.
  Ballot promised_{};
  /// The proposal with the highest ballot that was accepted in the open instance.
  std::optional<AcceptedProposal> accepted_;
};

}  // namespace mosskeel
