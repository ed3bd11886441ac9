#include "consensus/proposer.hpp"
#include "consensus/constants.hpp"

#include <algorithm>

namespace mosskeel {

namespace {

/// Marks the ballots of this process alone. The rounds of an earlier process of the same incarnation may not have been
/// synced, and a vote for one of its ballots must never count for another value.
uint64_t ballot_owner(const Identity& id) {
  return digest(hex(id.self.incarnation.value()), id.dice);
}

}  // namespace

std::map<Incarnation, Address> Proposer::members() const {
  std::map<Incarnation, Address> v;
  auto& m = *metadata_log_.view();
  for (auto id : m.members)
    if (auto* d = m.find(id))
      v[d->self.incarnation] = d->self.address;
  if (m.cluster == 0 && founding_)
    for (auto& c : founding_->electors)
      v[c.incarnation] = c.address;
  return v;
}

void Proposer::on(const Envelope& e, const Commit& c, Millis now) {
  auto again = [&](Waiting& w) {
    if (w.id != c.id || w.asker != e.from)
      return false;
    w.deadline = now + w.patience;
    return true;
  };
  if (std::any_of(queue_.begin(), queue_.end(), again))
    return;
  if (std::any_of(held_.begin(), held_.end(), [&](auto& h) { return again(h.w); }))
    return;
  auto patience = c.timeout_ms > 0 ? std::min<Millis>(c.timeout_ms, out_.id().commit_attempt_timeout)
                                   : out_.id().commit_attempt_timeout;
  queue_.push_back({c.id, c.change, e.from, c.known_epoch, patience, now + patience, ++tickets_});
  run(now);
}

void Proposer::answer(const Waiting& w, CommitOutcome o, const std::string& reason, Rejection why) {
  auto at = o == CommitOutcome::rejected ? metadata_log_.epoch()
                                         : metadata_log_.view()->epoch_of_commit(w.id).value_or(metadata_log_.epoch());
  auto [c, v] = metadata_log_.updates_since(w.known);
  out_.send_synced(w.asker, CommitReply{w.id, o, reason, at, c, v, why});
  if (o == CommitOutcome::rejected)
    out_.note(Event::rejected, describe(w.change) + ": " + reason);
  if (o == CommitOutcome::unknown)
    out_.note(Event::unknown_outcome, describe(w.change) + " id " + w.id);
}

/// Whoever was told that an order is unclear may have gone elsewhere with another: it is not proposed any more.
void Proposer::expire(Millis now) {
  std::vector<Waiting> late;
  std::erase_if(queue_, [&](auto& w) {
    if (now < w.deadline || (w.proposed && metadata_log_.view()->epoch_of_commit(w.id)))
      return false;
    late.push_back(w);
    return true;
  });
  for (auto& w : late) {
    // Nobody has been asked to accept it yet, so it can be left.
    if (round_ && round_->stage == Stage::preparing && round_->entry.commit_id == w.id)
      round_.reset();
    answer(w, CommitOutcome::unknown, "no majority of the core answered in time");
  }
}

void Proposer::run(Millis now) {
  expire(now);
  while (!round_ && now >= pause_) {
    if (founding_ && metadata_log_.view()->cluster == 0)
      return start(founding_->entry, now, false);
    founding_.reset();
    if (refound_) {
      Entry e{next(metadata_log_.epoch()), "", refound_->first};
      if (!apply(*metadata_log_.view(), e).ok()) {
        refound_.reset();
      } else if (refound_->second.empty()) {
        refound_.reset();
        enact_(e);
      } else {
        return start(std::move(e), now, false);
      }
    }
    if (queue_.empty() || metadata_log_.view()->cluster == 0)
      return;
    auto& w = queue_.front();
    bool taken = metadata_log_.view()->epoch_of_commit(w.id).has_value();
    if (taken && w.proposed) {
      auto first = std::move(w);
      queue_.erase(queue_.begin());
      hold(std::move(first), now);
      continue;
    }
    Entry e{next(metadata_log_.epoch()), w.id, w.change};
    if (taken || !apply(*metadata_log_.view(), e).ok())
      return read(now);
    w.proposed = true;
    start(std::move(e), now, false);
  }
}

/// Re-founding needs every survivor, founding a majority of its fixed candidates, all else a majority of the core.
size_t Proposer::votes_needed(size_t peers) const {
  if (refound_)
    return peers;
  if (metadata_log_.view()->cluster == 0 && founding_)
    return founding_->votes;
  return majority_of(peers);
}

void Proposer::start(Entry e, Millis now, bool finish_only) {
  Round r{};
  r.stage = Stage::preparing;
  r.epoch = e.epoch;
  top_ = std::max(top_, acc_.promised().round) + 1;
  r.ballot = {top_, ballot_owner(out_.id())};
  r.entry = std::move(e);
  if (finish_only)
    r.entry.epoch = Epoch{0};
  r.peers = refound_ ? refound_->second : members();
  r.need = votes_needed(r.peers.size());
  r.until = now + kProposalTimeout + out_.jitter(kProposalJitter);
  for (auto& [incarnation, a] : r.peers)
    out_.send(a, Prepare{r.epoch, r.ballot}, incarnation);
  round_ = std::move(r);
}

/// Asks the core whether this epoch is the newest; whatever waits now may then be answered from this value.
void Proposer::read(Millis now) {
  Round r{};
  r.stage = Stage::reading;
  r.epoch = metadata_log_.epoch();
  r.read = out_.roll();
  r.last_ticket = queue_.back().ticket;
  r.peers = members();
  r.need = majority_of(r.peers.size());
  r.until = now + kProposalTimeout;
  for (auto& [incarnation, a] : r.peers)
    out_.send(a, QuorumRead{r.read}, incarnation);
  round_ = std::move(r);
}

void Proposer::on(const Envelope& e, const QuorumReadReply& q, Millis now) {
  if (!round_ || round_->stage != Stage::reading || q.id != round_->read || !round_->peers.count(e.from_inc))
    return;
  if (q.epoch > metadata_log_.epoch()) {
    out_.send(e.from, Catchup{metadata_log_.epoch()});
    return;
  }
  if (q.epoch == metadata_log_.epoch())
    round_->open |= q.open;
  round_->votes.insert(e.from_inc);
  if (round_->votes.size() < round_->need)
    return;
  auto r = std::move(*round_);
  round_.reset();
  if (metadata_log_.epoch() != r.epoch)
    return run(now);
  if (r.open)
    return start(Entry{next(r.epoch), "", std::monostate{}}, now, true);
  conclude(r.last_ticket, now);
  run(now);
}

/// Answers what had come before the read began, up to the first that can be proposed.
void Proposer::conclude(uint64_t last_ticket, Millis now) {
  while (!queue_.empty() && queue_.front().ticket <= last_ticket) {
    auto& w = queue_.front();
    bool taken = metadata_log_.view()->epoch_of_commit(w.id).has_value();
    auto r =
        taken ? Result<Metadata>{Metadata{}} : apply(*metadata_log_.view(), Entry{next(metadata_log_.epoch()), w.id, w.change});
    if (!taken && r.ok())
      return;
    auto first = std::move(w);
    queue_.erase(queue_.begin());
    if (taken)
      hold(std::move(first), now);
    else
      answer(first, CommitOutcome::rejected, to_string(r.errors()),
             rejection_reason(*metadata_log_.view(), first.change));
  }
}

void Proposer::hold(Waiting w, Millis now) {
  auto at = *metadata_log_.view()->epoch_of_commit(w.id);
  Held h{std::move(w), at};
  if (!release(h, now))
    held_.push_back(std::move(h));
}

void Proposer::on(const Envelope& e, const Promise& p, Millis now) {
  if (!round_ || round_->stage != Stage::preparing || p.epoch != round_->epoch || p.ballot != round_->ballot)
    return;
  if (!round_->peers.count(e.from_inc))
    return;
  if (!p.granted)
    return again(now, p.promised);
  if (p.accepted && (!round_->best || round_->best->ballot < p.accepted->ballot))
    round_->best = p.accepted;
  round_->votes.insert(e.from_inc);
  if (round_->votes.size() < round_->need)
    return;
  if (round_->best)
    round_->entry = round_->best->entry;
  if (round_->entry.epoch.value() == 0) {
    round_.reset();
    return run(now);
  }
  round_->stage = Stage::accepting;
  round_->votes.clear();
  for (auto& [incarnation, a] : round_->peers)
    out_.send(a, Accept{round_->ballot, round_->entry}, incarnation);
}

void Proposer::on(const Envelope& e, const Accepted& a, Millis now) {
  if (!round_ || round_->stage != Stage::accepting || a.epoch != round_->epoch || a.ballot != round_->ballot)
    return;
  if (!round_->peers.count(e.from_inc))
    return;
  if (!a.granted)
    return again(now, a.promised);
  round_->votes.insert(e.from_inc);
  if (round_->votes.size() >= round_->need)
    decided(now);
}

void Proposer::decided(Millis now) {
  auto x = round_->entry;
  round_.reset();
  enact_(x);
  run(now);
}

void Proposer::again(Millis now, Ballot seen) {
  top_ = std::max(top_, seen.round);
  round_.reset();
  pause_ = now + 1 + out_.jitter(kProposalJitter);
}

/// What somebody outside relies on once it is acknowledged.
bool Proposer::promised(const Transformation& t) {
  return std::visit(overload{[](const ApplyConfiguration&) { return true; }, [](const SetReplica&) { return true; },
                             [](const RemoveReplica&) { return true; }, [](const EvacuateZone&) { return true; },
                             [](const RestoreZone&) { return true; }, [](const PrepareDrain&) { return true; },
                             [](const MovePartition&) { return true; }, [](const MoveAllPartitions&) { return true; },
                             [](const auto&) {
                               return false;
                             }},
                    t);
}

/// Answers once the change is in force, or when its asker's patience is over.
bool Proposer::release(const Held& h, Millis now) {
  auto why = promised(h.w.change) && missing_acknowledgements ? missing_acknowledgements(h.at, now) : "";
  if (why.empty())
    return answer(h.w, CommitOutcome::committed, ""), true;
  if (now < h.w.deadline)
    return false;
  answer(h.w, CommitOutcome::unknown,
         "epoch " + std::to_string(h.at.value()) + " is in the log and not yet in force: " + why);
  return true;
}

void Proposer::found(const FoundCluster& f, const Candidates& electors, size_t votes, Millis now) {
  founding_ = {Entry{Epoch{1}, "found", f}, electors, votes};
  run(now);
}

void Proposer::refound(const RefoundCluster& t, std::map<Incarnation, Address> survivors, Millis now) {
  round_.reset();
  pause_ = 0;
  refound_ = {t, std::move(survivors)};
  run(now);
}

void Proposer::tick(Millis now) {
  if (round_ && round_->epoch < (round_->stage == Stage::reading ? metadata_log_.epoch() : next(metadata_log_.epoch())))
    round_.reset();
  if (round_ && now >= round_->until)
    again(now, {});
  heard(now);
  run(now);
}

}  // namespace mosskeel
