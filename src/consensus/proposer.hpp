#pragma once
// Commits metadata changes: applies the transformation and appends it to the log by Paxos at the next epoch.
#include "consensus/acceptor.hpp"
#include "consensus/commit_queue.hpp"
#include "consensus/quorum_reader.hpp"

namespace mosskeel {

/// A controller's Paxos proposer, which proposes the queued commits one at a time.
///
/// At most one proposal or one quorum read is in flight. A commit is rejected only after a quorum read has confirmed
/// that the metadata it was checked against is the newest. It is acknowledged once its entry is decided and, if clients
/// outside the cluster rely on it, in force. Owned by `ControllerMachine` and used on its thread only; not persisted.
class Proposer {
 public:
  /// Called for each entry that a majority has accepted under this proposer's ballot.
  using DecidedCallback = std::function<void(const Entry&)>;

  Proposer(Outbox& outbox, MetadataLog& metadata_log, Acceptor& acceptor, DecidedCallback on_decided,
           CommitQueue::MissingAcknowledgements missing_acknowledgements)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        acceptor_(acceptor),
        on_decided_(std::move(on_decided)),
        commits_(outbox, metadata_log, std::move(missing_acknowledgements)),
        reader_(outbox, metadata_log) {}

  void handle(const Envelope& envelope, const Commit& commit, TimePoint now);
  void handle(const Envelope& envelope, const Promise& promise, TimePoint now);
  void handle(const Envelope& envelope, const Accepted& accepted, TimePoint now);
  void handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now);
  void tick(TimePoint now);
  /// Acknowledges the appended commits that are in force at `now`; called when a daemon has reported its epoch.
  void acknowledge_in_force(TimePoint now) { commits_.acknowledge_in_force(now); }

  /// Proposes the founding entry to these voters, of whom `quorum_size` must accept it.
  void found(const FoundCluster& founding, const DaemonInfos& voters, size_t quorum_size, TimePoint now);
  /// Proposes a re-founding of the core. Every one of `survivors` must accept it, because the lost members cannot.
  void refound(const RefoundCluster& refounding, std::map<Incarnation, Address> survivors, TimePoint now);
  bool refounding() const { return refounding_.has_value(); }
  /// Finishes the open instance, which its proposer abandoned, with the proposal accepted in it, if any.
  void finish_open_instance(TimePoint now);
  /// Whether neither a proposal nor a quorum read is in flight.
  bool idle() const { return !proposal_ && !reader_.in_progress(); }

 private:
  enum class Phase { preparing, accepting };

  /// The proposal in flight.
  struct Proposal {
    Phase phase = Phase::preparing;
    /// Identifies the Paxos instance.
    Epoch epoch;
    Ballot ballot{};
    /// The entry to propose unless an acceptor reports an accepted proposal; empty when only finishing an open
    /// instance.
    std::optional<Entry> entry;
    /// The accepted proposal with the highest ballot among the promises.
    std::optional<AcceptedProposal> highest_accepted;
    std::map<Incarnation, Address> acceptors;
    size_t quorum_size{};
    /// Acceptors that have granted the current phase.
    std::set<Incarnation> votes;
    /// If there is no quorum by then, another ballot is tried.
    TimePoint deadline{};
  };

  /// The founding entry, proposed until the cluster is founded.
  struct Founding {
    Entry entry{};
    DaemonInfos voters;
    size_t quorum_size{};
  };

  struct Refounding {
    RefoundCluster change{};
    std::map<Incarnation, Address> survivors;
  };

  void advance(TimePoint now);
  bool propose_founding(TimePoint now);
  bool propose_refounding(TimePoint now);
  void propose_or_read(CommitRequest& request, TimePoint now);
  void prepare(Epoch epoch, std::optional<Entry> entry, TimePoint now);
  void begin_read(TimePoint now);
  void finish_read(const QuorumReader::Result& read, TimePoint now);
  void expire_requests(TimePoint now);
  void abandon(TimePoint now, Ballot seen);
  std::map<Incarnation, Address> acceptors() const;
  size_t quorum_size(size_t acceptors) const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  Acceptor& acceptor_;
  DecidedCallback on_decided_;
  CommitQueue commits_;
  QuorumReader reader_;
  std::optional<Proposal> proposal_;
  std::optional<Founding> founding_;
  std::optional<Refounding> refounding_;
  /// The highest ballot round that was used by this proposer or seen in a rejection.
  uint64_t highest_round_ = 0;
  /// No proposal is started before this time, so that duelling proposers separate.
  TimePoint retry_at_{};
};

}  // namespace mosskeel
