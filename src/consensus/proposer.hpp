#pragma once
// Commits: run the transformation, append its result by Paxos compare-and-set at the strictly next epoch.
#include "consensus/acceptor.hpp"

namespace mosskeel {

/// The Paxos proposer of a controller, and the queue of commits that it proposes one after the other.
///
/// At most one proposal or one quorum read is in flight. A commit is rejected only after a quorum read has confirmed
/// that the metadata that it was judged by is the newest; it is acknowledged once its entry is decided and, where
/// somebody outside relies on it, in force. Owned by `ControllerMachine` and used on its thread only; nothing of it is
/// on disk.
class Proposer {
 public:
  /// Called for each entry that a majority has accepted under this proposer's ballot.
  using DecidedCallback = std::function<void(const Entry&)>;
  /// Which acknowledgements an epoch lacks at a time to be in force, as text; empty if none.
  using MissingAcknowledgements = std::function<std::string(Epoch, TimePoint)>;

  Proposer(Outbox& outbox, MetadataLog& metadata_log, Acceptor& acceptor, DecidedCallback on_decided,
           MissingAcknowledgements missing_acknowledgements)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        acceptor_(acceptor),
        on_decided_(std::move(on_decided)),
        missing_acknowledgements_(std::move(missing_acknowledgements)) {}

  void handle(const Envelope& envelope, const Commit& commit, TimePoint now);
  void handle(const Envelope& envelope, const Promise& promise, TimePoint now);
  void handle(const Envelope& envelope, const Accepted& accepted, TimePoint now);
  void handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now);
  void tick(TimePoint now);
  /// Acknowledges the appended commits that are in force by now; called when a daemon has reported its epoch.
  void acknowledge_in_force(TimePoint now);

  /// Proposes the founding entry to these candidates, of whom `quorum_size` must accept it.
  void found(const FoundCluster& founding, const Candidates& electors, size_t quorum_size, TimePoint now);
  /// Proposes to found the core anew; every one of `survivors` must accept it, the lost members cannot.
  void refound(const RefoundCluster& refounding, std::map<Incarnation, Address> survivors, TimePoint now);
  bool refounding() const { return refounding_.has_value(); }
  /// Decides the open instance, whose own proposer gave up, with the proposal that was accepted in it, if any.
  void finish_open_instance(TimePoint now);
  /// Whether neither a proposal nor a quorum read is in flight.
  bool idle() const { return !proposal_ && !read_; }

 private:
  /// One requester's commit. Two requesters of the same commit are answered separately: each needs a contact with a
  /// majority that began after its own request.
  struct CommitRequest {
    std::string id;
    Transformation change;
    Address requester;
    /// The requester's own epoch: the reply brings what it lacks since.
    Epoch known_epoch;
    /// From the request, and from each repetition of it, to `deadline`.
    Duration timeout{};
    TimePoint deadline{};
    /// Order of arrival.
    uint64_t ticket{};
    /// Whether this process has proposed it.
    bool proposed = false;
  };

  /// A decided commit that is not acknowledged yet.
  struct AppendedCommit {
    CommitRequest request;
    Epoch epoch;
  };

  enum class Phase { preparing, accepting };

  /// The proposal in flight.
  struct Proposal {
    Phase phase = Phase::preparing;
    /// Names the Paxos instance.
    Epoch epoch;
    Ballot ballot{};
    /// What is proposed unless an accepted proposal is reported; nothing where an open instance is only to be finished.
    std::optional<Entry> entry;
    /// The accepted proposal with the highest ballot among the promises.
    std::optional<AcceptedProposal> highest_accepted;
    std::map<Incarnation, Address> acceptors;
    size_t quorum_size{};
    /// Acceptors that have granted the present phase.
    std::set<Incarnation> votes;
    /// Without a quorum by then, another ballot is tried.
    TimePoint deadline{};
  };

  /// The quorum read in flight: is `epoch`, this controller's newest, the newest of all?
  struct QuorumReadState {
    uint64_t id{};
    Epoch epoch;
    std::map<Incarnation, Address> members;
    size_t quorum_size{};
    std::set<Incarnation> replies;
    TimePoint deadline{};
    /// Whether a member has accepted a proposal for the next epoch, which may be decided already.
    bool instance_open = false;
    /// The last commit request that had come when the read began; the read says nothing for later ones.
    uint64_t last_ticket{};
  };

  /// The founding to be proposed until the cluster is founded.
  struct Founding {
    Entry entry{};
    Candidates electors;
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
  void finish_read(const QuorumReadState& read, TimePoint now);
  void answer_requests_up_to(uint64_t last_ticket, TimePoint now);
  void expire_requests(TimePoint now);
  void abandon(TimePoint now, Ballot seen);
  CommitRequest take_first_request();
  void await_in_force(CommitRequest request, TimePoint now);
  bool try_acknowledge(const AppendedCommit& commit, TimePoint now);
  void reply(const CommitRequest& request, CommitOutcome outcome, const std::string& reason,
             Rejection rejection = Rejection::none);
  std::map<Incarnation, Address> acceptors() const;
  size_t quorum_size(size_t acceptors) const;
  bool is_appended(const CommitRequest& request) const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  Acceptor& acceptor_;
  DecidedCallback on_decided_;
  MissingAcknowledgements missing_acknowledgements_;
  /// Commits that are neither decided nor rejected, in order of arrival; the first one is being proposed or read for.
  std::vector<CommitRequest> requests_;
  std::vector<AppendedCommit> appended_;
  std::optional<Proposal> proposal_;
  std::optional<QuorumReadState> read_;
  std::optional<Founding> founding_;
  std::optional<Refounding> refounding_;
  /// The highest round of a ballot that was used here or seen in a rejection.
  uint64_t highest_round_ = 0;
  uint64_t last_ticket_ = 0;
  /// No proposal before this time: duelling proposers separate.
  TimePoint retry_at_{};
};

}  // namespace mosskeel
