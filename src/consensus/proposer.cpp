#include "consensus/proposer.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel {
namespace {

/// Identifies the ballots of this process. Ballots of an earlier process of the same incarnation may not have been
/// synced, and a vote for one of them must never count for a different value.
uint64_t ballot_owner(const Identity& id) {
  return digest(hex(id.self.incarnation.value()), id.random_seed);
}

}  // namespace

/// The members of the core; before the founding, the founding's voters.
std::map<Incarnation, Address> Proposer::acceptors() const {
  std::map<Incarnation, Address> acceptors;
  const Metadata& metadata = *metadata_log_.view();
  for (DaemonId id : metadata.members)
    if (const Daemon* member = metadata.find(id))
      acceptors[member->self.incarnation] = member->self.address;
  if (metadata.cluster == 0 && founding_)
    for (const DaemonInfo& voter : founding_->voters)
      acceptors[voter.incarnation] = voter.address;
  return acceptors;
}

/// A re-founding needs every survivor, a founding a majority of the founders, any other entry a majority of the core.
size_t Proposer::quorum_size(size_t acceptors) const {
  if (refounding_)
    return acceptors;
  if (metadata_log_.view()->cluster == 0 && founding_)
    return founding_->quorum_size;
  return majority_of(acceptors);
}

void Proposer::handle(const Envelope& envelope, const Commit& commit, TimePoint now) {
  if (commits_.add(envelope, commit, now))
    advance(now);
}

/// Expired commits are no longer proposed: a requester that was told that the outcome is unknown may already have sent
/// a different commit to another controller.
void Proposer::expire_requests(TimePoint now) {
  for (const CommitRequest& request : commits_.expire(now)) {
    // No acceptor has been asked to accept it yet, so it can be abandoned.
    if (proposal_ && proposal_->phase == Phase::preparing && proposal_->entry &&
        proposal_->entry->commit_id == request.id)
      proposal_.reset();
  }
}

/// Starts the next proposals or reads while nothing is in flight.
void Proposer::advance(TimePoint now) {
  expire_requests(now);
  while (idle() && now >= retry_at_) {
    if (propose_founding(now) || propose_refounding(now))
      return;
    if (commits_.empty() || metadata_log_.view()->cluster == 0)
      return;
    CommitRequest& first = commits_.first();
    if (first.proposed && commits_.is_appended(first))
      commits_.acknowledge_first(now);
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

/// A commit that does not apply, or was appended for another request, is answered only after a quorum read.
void Proposer::propose_or_read(CommitRequest& request, TimePoint now) {
  Entry entry{next(metadata_log_.epoch()), request.id, request.change};
  if (commits_.is_appended(request) || !apply(*metadata_log_.view(), entry).ok())
    return begin_read(now);
  request.proposed = true;
  prepare(entry.epoch, entry, now);
}

/// Starts phase 1 of Paxos in the instance of `epoch`, with a ballot above all that this controller has seen.
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
  // A proposal that an acceptor reports may already be decided, so only that proposal may be proposed again.
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

/// Abandons the proposal or read in flight. The next attempt uses a ballot above `seen`, after a random delay.
void Proposer::abandon(TimePoint now, Ballot seen) {
  highest_round_ = std::max(highest_round_, seen.round);
  proposal_.reset();
  reader_.abandon();
  retry_at_ = now + 1ms + outbox_.jitter(kProposalJitter);
}

/// Asks the core whether this epoch is the newest; if so, the commits queued by now may be answered from its metadata.
void Proposer::begin_read(TimePoint now) {
  reader_.begin(acceptors(), commits_.last_ticket(), now);
}

void Proposer::handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now) {
  if (auto result = reader_.handle(envelope, reply))
    finish_read(*result, now);
}

void Proposer::finish_read(const QuorumReader::Result& read, TimePoint now) {
  if (metadata_log_.epoch() != read.epoch)
    return advance(now);
  if (read.instance_open)
    return prepare(next(read.epoch), std::nullopt, now);
  commits_.answer_up_to(read.last_ticket, now);
  advance(now);
}

void Proposer::found(const FoundCluster& founding, const DaemonInfos& voters, size_t quorum_size, TimePoint now) {
  founding_ = {Entry{Epoch{1}, "found", founding}, voters, quorum_size};
  advance(now);
}

void Proposer::refound(const RefoundCluster& refounding, std::map<Incarnation, Address> survivors, TimePoint now) {
  proposal_.reset();
  reader_.abandon();
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
  if (reader_.is_outdated())
    reader_.abandon();
  bool timed_out = (proposal_ && now >= proposal_->deadline) || reader_.is_timed_out(now);
  if (timed_out)
    abandon(now, {});
  commits_.acknowledge_in_force(now);
  advance(now);
}

}  // namespace mosskeel
