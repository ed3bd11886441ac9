#pragma once
// The commits whose requesters wait for an answer.
#include "replication/metadata_log.hpp"

namespace mosskeel {

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

/// The commit requests that are neither decided nor rejected, in order of arrival, and the decided ones that are not
/// acknowledged yet.
///
/// Invariant: a request leaves the queue with exactly one reply to its requester. A change on which somebody outside
/// the cluster relies is acknowledged once it is in force, any other one once it is decided. Owned by `Proposer` and
/// used on its thread only; nothing of it is on disk.
class CommitQueue {
 public:
  /// Which acknowledgements an epoch lacks at a time to be in force, as text; empty if none.
  using MissingAcknowledgements = std::function<std::string(Epoch, TimePoint)>;

  CommitQueue(Outbox& outbox, const MetadataLog& metadata_log, MissingAcknowledgements missing_acknowledgements)
      : outbox_(outbox), metadata_log_(metadata_log), missing_acknowledgements_(std::move(missing_acknowledgements)) {}

  /// Adds a request. One that its requester repeats only gets a later deadline; returns false then.
  bool add(const Envelope& envelope, const Commit& commit, TimePoint now);
  bool empty() const { return requests_.empty(); }
  /// The request that is proposed or read for next; the queue must not be empty.
  CommitRequest& first() { return requests_.front(); }
  /// The ticket of the request that came last; the queue must not be empty.
  uint64_t last_ticket() const { return requests_.back().ticket; }
  /// Whether the metadata log has an entry of this commit, from whatever requester.
  bool is_appended(const CommitRequest& request) const;

  /// Answers the requests whose deadlines have passed with an unknown outcome and returns them.
  std::vector<CommitRequest> expire(TimePoint now);
  /// Takes the first request, which is appended, and acknowledges it once it is in force.
  void acknowledge_first(TimePoint now);
  /// Answers the requests up to this ticket, and up to the first that can be proposed, by the metadata that a quorum
  /// read has confirmed after they had come.
  void answer_up_to(uint64_t ticket, TimePoint now);
  /// Acknowledges the appended commits that are in force by now.
  void acknowledge_in_force(TimePoint now);

 private:
  /// A decided commit that is not acknowledged yet.
  struct AppendedCommit {
    CommitRequest request;
    Epoch epoch;
  };

  CommitRequest take_first();
  bool try_acknowledge(const AppendedCommit& commit, TimePoint now);
  void reply(const CommitRequest& request, CommitOutcome outcome, const std::string& reason,
             Rejection rejection = Rejection::none);

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  MissingAcknowledgements missing_acknowledgements_;
  std::vector<CommitRequest> requests_;
  std::vector<AppendedCommit> appended_;
  uint64_t last_ticket_ = 0;
};

}  // namespace mosskeel
