#include "consensus/proposer.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel {
namespace {

/// Marks the ballots of this process alone. The ballots of an earlier process of the same incarnation may not have been
/// synced, and a vote for one of them must never count for another value.
uint64_t ballot_owner(const Identity& id) {
  return digest(hex(id.self.incarnation.value()), id.random_seed);
}

/// Whether somebody outside the cluster relies on a change once it is acknowledged, so that it must be in force then.
bool must_be_in_force(const Transformation& change) {
  return std::holds_alternative<ApplyConfiguration>(change) || std::holds_alternative<SetReplica>(change) ||
         std::holds_alternative<RemoveReplica>(change) || std::holds_alternative<EvacuateZone>(change) ||
         std::holds_alternative<RestoreZone>(change) || std::holds_alternative<PrepareDrain>(change) ||
         std::holds_alternative<MovePartition>(change) || std::holds_alternative<MoveAllPartitions>(change);
}

}  // namespace

/// The members of the core; before the founding, the fixed candidates.
std::map<Incarnation, Address> Proposer::acceptors() const {
  std::map<Incarnation, Address> acceptors;
  const Metadata& metadata = *metadata_log_.view();
  for (DaemonId id : metadata.members)
    if (const Daemon* member = metadata.find(id))
      acceptors[member->self.incarnation] = member->self.address;
  if (metadata.cluster == 0 && founding_)
    for (const Candidate& elector : founding_->electors)
      acceptors[elector.incarnation] = elector.address;
  return acceptors;
}

/// Re-founding needs every survivor, founding a majority of its fixed candidates, all else a majority of the core.
size_t Proposer::quorum_size(size_t acceptors) const {
  if (refounding_)
    return acceptors;
  if (metadata_log_.view()->cluster == 0 && founding_)
    return founding_->quorum_size;
  return majority_of(acceptors);
}

bool Proposer::is_appended(const CommitRequest& request) const {
  return metadata_log_.view()->epoch_of_commit(request.id).has_value();
}

void Proposer::handle(const Envelope& envelope, const Commit& commit, TimePoint now) {
  auto extend_if_repeated = [&](CommitRequest& request) {
    if (request.id != commit.id || request.requester != envelope.from)
      return false;
    request.deadline = now + request.timeout;
    return true;
  };
  if (std::any_of(requests_.begin(), requests_.end(), extend_if_repeated))
    return;
  if (std::any_of(appended_.begin(), appended_.end(),
                  [&](AppendedCommit& appended) { return extend_if_repeated(appended.request); }))
    return;
  Duration timeout = outbox_.id().commit_attempt_timeout;
  if (commit.timeout_ms > 0)
    timeout = std::min(Duration(commit.timeout_ms), timeout);
  requests_.push_back(
      {commit.id, commit.change, envelope.from, commit.known_epoch, timeout, now + timeout, ++last_ticket_});
  advance(now);
}

void Proposer::reply(const CommitRequest& request, CommitOutcome outcome, const std::string& reason,
                     Rejection rejection) {
  Epoch epoch = metadata_log_.epoch();
  if (outcome != CommitOutcome::rejected)
    epoch = metadata_log_.view()->epoch_of_commit(request.id).value_or(epoch);
  auto [snapshot, entries] = metadata_log_.updates_since(request.known_epoch);
  outbox_.send_synced(request.requester, CommitReply{request.id, outcome, reason, epoch, snapshot, entries, rejection});
  if (outcome == CommitOutcome::rejected)
    outbox_.log_event(Event::rejected, describe(request.change) + ": " + reason);
  if (outcome == CommitOutcome::unknown)
    outbox_.log_event(Event::unknown_outcome, describe(request.change) + " id " + request.id);
}

/// Whoever was told that the outcome of a commit is unknown may have gone to another controller with a different one:
/// it is not proposed any more.
void Proposer::expire_requests(TimePoint now) {
  std::vector<CommitRequest> expired;
  std::erase_if(requests_, [&](CommitRequest& request) {
    if (now < request.deadline || (request.proposed && is_appended(request)))
      return false;
    expired.push_back(request);
    return true;
  });
  for (const CommitRequest& request : expired) {
    // Nobody has been asked to accept it yet, so it can be abandoned.
    if (proposal_ && proposal_->phase == Phase::preparing && proposal_->entry &&
        proposal_->entry->commit_id == request.id)
      proposal_.reset();
    reply(request, CommitOutcome::unknown, "no majority of the core answered in time");
  }
}

/// Starts what is next, as far as nothing is in flight.
void Proposer::advance(TimePoint now) {
  expire_requests(now);
  while (idle() && now >= retry_at_) {
    if (propose_founding(now) || propose_refounding(now))
      return;
    if (requests_.empty() || metadata_log_.view()->cluster == 0)
      return;
    CommitRequest& first = requests_.front();
    if (first.proposed && is_appended(first))
      await_in_force(take_first_request(), now);
    else
      propose_or_read(first, now);
  }
}

bool Proposer::propose_founding(TimePoint now) {
  if (!founding_ || metadata_log_.view()->cluster != 0) {
    founding_.reset();
    return false;
  }
  prepare(founding_->entry.epoch, founding_->entry, now);
  return true;
}

bool Proposer::propose_refounding(TimePoint now) {
  if (!refounding_)
    return false;
  Entry entry{next(metadata_log_.epoch()), "", refounding_->change};
  if (!apply(*metadata_log_.view(), entry).ok()) {
    refounding_.reset();
    return false;
  }
  if (refounding_->survivors.empty()) {
    refounding_.reset();
    on_decided_(entry);
    return false;
  }
  prepare(entry.epoch, entry, now);
  return true;
}

/// What doesn't apply, or was appended for another request, is answered only after a quorum read.
void Proposer::propose_or_read(CommitRequest& request, TimePoint now) {
  Entry entry{next(metadata_log_.epoch()), request.id, request.change};
  if (is_appended(request) || !apply(*metadata_log_.view(), entry).ok())
    return begin_read(now);
  request.proposed = true;
  prepare(entry.epoch, entry, now);
}

/// Phase 1 of Paxos in the instance of `epoch`, with a ballot above all that were seen here.
void Proposer::prepare(Epoch epoch, std::optional<Entry> entry, TimePoint now) {
  Proposal proposal{};
  proposal.epoch = epoch;
  highest_round_ = std::max(highest_round_, acceptor_.promised().round) + 1;
  proposal.ballot = {highest_round_, ballot_owner(outbox_.id())};
  proposal.entry = std::move(entry);
  proposal.acceptors = refounding_ ? refounding_->survivors : acceptors();
  proposal.quorum_size = quorum_size(proposal.acceptors.size());
  proposal.deadline = now + kProposalTimeout + outbox_.jitter(kProposalJitter);
  for (const auto& [incarnation, address] : proposal.acceptors)
    outbox_.send(address, Prepare{proposal.epoch, proposal.ballot}, incarnation);
  proposal_ = std::move(proposal);
}

void Proposer::handle(const Envelope& envelope, const Promise& promise, TimePoint now) {
  if (!proposal_ || proposal_->phase != Phase::preparing || promise.epoch != proposal_->epoch ||
      promise.ballot != proposal_->ballot || !proposal_->acceptors.count(envelope.from_incarnation))
    return;
  if (!promise.granted)
    return abandon(now, promise.promised);
  std::optional<AcceptedProposal>& highest = proposal_->highest_accepted;
  if (promise.accepted && (!highest || highest->ballot < promise.accepted->ballot))
    highest = promise.accepted;
  proposal_->votes.insert(envelope.from_incarnation);
  if (proposal_->votes.size() < proposal_->quorum_size)
    return;
  // A proposal that an acceptor reports may be decided already: only that one may be proposed again.
  if (highest)
    proposal_->entry = highest->entry;
  if (!proposal_->entry) {
    proposal_.reset();
    return advance(now);
  }
  proposal_->phase = Phase::accepting;
  proposal_->votes.clear();
  for (const auto& [incarnation, address] : proposal_->acceptors)
    outbox_.send(address, Accept{proposal_->ballot, *proposal_->entry}, incarnation);
}

void Proposer::handle(const Envelope& envelope, const Accepted& accepted, TimePoint now) {
  if (!proposal_ || proposal_->phase != Phase::accepting || accepted.epoch != proposal_->epoch ||
      accepted.ballot != proposal_->ballot || !proposal_->acceptors.count(envelope.from_incarnation))
    return;
  if (!accepted.granted)
    return abandon(now, accepted.promised);
  proposal_->votes.insert(envelope.from_incarnation);
  if (proposal_->votes.size() < proposal_->quorum_size)
    return;
  Entry decided = *proposal_->entry;
  proposal_.reset();
  on_decided_(decided);
  advance(now);
}

/// Gives up what is in flight; the next attempt takes a ballot above `seen`, after a random pause.
void Proposer::abandon(TimePoint now, Ballot seen) {
  highest_round_ = std::max(highest_round_, seen.round);
  proposal_.reset();
  read_.reset();
  retry_at_ = now + 1ms + outbox_.jitter(kProposalJitter);
}

/// Asks the core whether this epoch is the newest; the commits that wait now may then be answered by its value.
void Proposer::begin_read(TimePoint now) {
  QuorumReadState read{};
  read.id = outbox_.next_random();
  read.epoch = metadata_log_.epoch();
  read.last_ticket = requests_.back().ticket;
  read.members = acceptors();
  read.quorum_size = majority_of(read.members.size());
  read.deadline = now + kProposalTimeout;
  for (const auto& [incarnation, address] : read.members)
    outbox_.send(address, QuorumRead{read.id}, incarnation);
  read_ = std::move(read);
}

void Proposer::handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now) {
  if (!read_ || reply.id != read_->id || !read_->members.count(envelope.from_incarnation))
    return;
  if (reply.epoch > metadata_log_.epoch()) {
    outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
    return;
  }
  if (reply.epoch == metadata_log_.epoch())
    read_->instance_open |= reply.open;
  read_->replies.insert(envelope.from_incarnation);
  if (read_->replies.size() < read_->quorum_size)
    return;
  QuorumReadState read = std::move(*read_);
  read_.reset();
  finish_read(read, now);
}

void Proposer::finish_read(const QuorumReadState& read, TimePoint now) {
  if (metadata_log_.epoch() != read.epoch)
    return advance(now);
  if (read.instance_open)
    return prepare(next(read.epoch), std::nullopt, now);
  answer_requests_up_to(read.last_ticket, now);
  advance(now);
}

/// Answers the requests that had come before a quorum read began, up to the first that can be proposed.
void Proposer::answer_requests_up_to(uint64_t last_ticket, TimePoint now) {
  while (!requests_.empty() && requests_.front().ticket <= last_ticket) {
    const CommitRequest& first = requests_.front();
    if (is_appended(first)) {
      await_in_force(take_first_request(), now);
      continue;
    }
    auto result = apply(*metadata_log_.view(), Entry{next(metadata_log_.epoch()), first.id, first.change});
    if (result.ok())
      return;
    CommitRequest rejected = take_first_request();
    reply(rejected, CommitOutcome::rejected, to_string(result.errors()),
          rejection_reason(*metadata_log_.view(), rejected.change));
  }
}

Proposer::CommitRequest Proposer::take_first_request() {
  CommitRequest first = std::move(requests_.front());
  requests_.erase(requests_.begin());
  return first;
}

void Proposer::await_in_force(CommitRequest request, TimePoint now) {
  Epoch epoch = *metadata_log_.view()->epoch_of_commit(request.id);
  AppendedCommit commit{std::move(request), epoch};
  if (!try_acknowledge(commit, now))
    appended_.push_back(std::move(commit));
}

/// Answers once the change is in force, or at its deadline; false if it has still to wait.
bool Proposer::try_acknowledge(const AppendedCommit& commit, TimePoint now) {
  std::string missing;
  if (must_be_in_force(commit.request.change))
    missing = missing_acknowledgements_(commit.epoch, now);
  if (missing.empty()) {
    reply(commit.request, CommitOutcome::committed, "");
    return true;
  }
  if (now < commit.request.deadline)
    return false;
  reply(commit.request, CommitOutcome::unknown,
        "epoch " + std::to_string(commit.epoch.value()) + " is in the log and not yet in force: " + missing);
  return true;
}

void Proposer::acknowledge_in_force(TimePoint now) {
  std::erase_if(appended_, [&](const AppendedCommit& commit) { return try_acknowledge(commit, now); });
}

void Proposer::found(const FoundCluster& founding, const Candidates& electors, size_t quorum_size, TimePoint now) {
  founding_ = {Entry{Epoch{1}, "found", founding}, electors, quorum_size};
  advance(now);
}

void Proposer::refound(const RefoundCluster& refounding, std::map<Incarnation, Address> survivors, TimePoint now) {
  proposal_.reset();
  read_.reset();
  retry_at_ = {};
  refounding_ = {refounding, std::move(survivors)};
  advance(now);
}

void Proposer::finish_open_instance(TimePoint now) {
  if (idle())
    prepare(next(metadata_log_.epoch()), std::nullopt, now);
}

void Proposer::tick(TimePoint now) {
  if (proposal_ && proposal_->epoch < next(metadata_log_.epoch()))
    proposal_.reset();
  if (read_ && read_->epoch < metadata_log_.epoch())
    read_.reset();
  bool timed_out = (proposal_ && now >= proposal_->deadline) || (read_ && now >= read_->deadline);
  if (timed_out)
    abandon(now, {});
  acknowledge_in_force(now);
  advance(now);
}

}  // namespace mosskeel
