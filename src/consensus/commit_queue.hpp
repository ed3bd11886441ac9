#pragma once
// Commit requests whose requesters wait for a reply.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// One requester's commit. Requesters of the same commit are answered separately, because each reply must be based on a
/// majority contact that began after that requester's own request.
struct CommitRequest {
  std::string id;
  Transformation change;
  Address requester;
  /// The requester's epoch; the reply carries all updates since then.
  Epoch known_epoch;
  /// Time from the request, or from its latest repetition, to `deadline`.
  Duration timeout{};
  TimePoint deadline{};
  /// Position in the order of arrival.
  uint64_t ticket{};
  /// Whether this process has proposed the change.
  bool proposed = false;
};

/// The undecided commit requests in order of arrival, and the decided ones that are not acknowledged yet.
///
/// Invariant: a request leaves the queue with exactly one reply to its requester. A change that clients outside the
/// cluster rely on is acknowledged once it is in force, any other change once it is decided. Owned by `Proposer` and
/// used on its thread only; not persisted.
class CommitQueue {
 public:
  /// Returns which acknowledgements an epoch still lacks to be in force at a given time, as text; empty if none.
  using MissingAcknowledgements = std::function<std::string(Epoch, TimePoint)>;

  CommitQueue(Outbox& outbox, const MetadataLog& metadata_log, MissingAcknowledgements missing_acknowledgements)
      : outbox_(outbox), metadata_log_(metadata_log), missing_acknowledgements_(std::move(missing_acknowledgements)) {}

  /// Adds a request and returns true. If the requester repeats a queued request, only extends its deadline and returns
  /// false.
  bool add(const Envelope& envelope, const Commit& commit, TimePoint now);
  bool empty() const { return requests_.empty(); }
  /// The request to be handled next; the queue must not be empty.
  CommitRequest& first() { return requests_.front(); }
  /// The ticket of the most recent request; the queue must not be empty.
  uint64_t last_ticket() const { return requests_.back().ticket; }
  /// Whether the metadata log has an entry with this commit id, from any requester.
  bool is_appended(const CommitRequest& request) const;

  /// Removes the requests whose deadlines have passed, replies to each with an unknown outcome, and returns them.
  std::vector<CommitRequest> expire(TimePoint now);
  /// Removes the first request, which must be appended, and acknowledges it once it is in force.
  void acknowledge_first(TimePoint now);
  /// Answers the requests up to this ticket, stopping at the first one that can be proposed. A quorum read that began
  /// after their arrival must have confirmed the present metadata.
  void answer_up_to(uint64_t ticket, TimePoint now);
  /// Acknowledges the appended commits that are in force at `now`.
  void acknowledge_in_force(TimePoint now);

 private:
  /// A decided commit that has not been acknowledged yet.
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
