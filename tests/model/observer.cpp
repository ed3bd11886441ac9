#include "model/observer.hpp"

#include <algorithm>

namespace mosskeel::model {
namespace {

std::pair<uint64_t, Epoch> age(const Metadata& m) {
  return {m.generation, m.epoch};
}

bool holds(const Durable& d, uint64_t generation, Epoch epoch, const std::string& commit) {
  if (d.generation > generation || d.epoch >= epoch)
    return true;
  return d.open == epoch && d.accepted && d.accepted->entry.commit_id == commit;
}

}  // namespace

void Observer::fail(std::string what) {
  if (broken_.empty())
    broken_ = std::move(what);
}

void Observer::saw(Incarnation incarnation, const MetadataSnapshot& v) {
  if (!v->cluster)
    return;
  auto& t = told_[incarnation];
  if (v->generation < t.generation)
    fail("incarnation " + hex(incarnation.value()) + " went back to an earlier generation");
  t.generation = std::max(t.generation, v->generation);
  agreement(v);
  contains_acknowledged(*v);
  if (age(*v) > age(*newest_))
    newest_ = v;
}

void Observer::agreement(const MetadataSnapshot& v) {
  if (v->generation == 1 && founded_.insert(v->cluster).second && founded_.size() > 1)
    fail("two clusters were founded");
  auto [i, fresh] = decided_.try_emplace({v->cluster, v->epoch}, v);
  if (!fresh) {
    if (i->second != v && !(*i->second == *v))
      fail("two values at epoch " + std::to_string(v->epoch.value()));
    return;
  }
  auto before = decided_.find({v->cluster, Epoch{v->epoch.value() - 1}});
  if (before == decided_.end())
    return;
  majorities_meet(*before->second, *v);
  newcomers_hold_log(*before->second, *v);
}

/// A newcomer's disk must hold the log up to its own entry in the directory before it counts as a member.
void Observer::newcomers_hold_log(const Metadata& before, const Metadata& after) {
  for (auto id : after.members) {
    auto* d = after.find(id);
    auto disk = disks_.find(d->self.incarnation);
    if (before.is_core_member(d->self.incarnation) || disk == disks_.end())
      continue;
    if (disk->second.generation < after.generation || disk->second.epoch < d->since)
      fail("daemon " + std::to_string(id.value()) + " became a member at epoch " + std::to_string(after.epoch.value()) +
           " before it held the log");
  }
}

void Observer::majorities_meet(const Metadata& before, const Metadata& after) {
  std::set<DaemonId> all(before.members.begin(), before.members.end());
  all.insert(after.members.begin(), after.members.end());
  if (majority_of(before.members.size()) + majority_of(after.members.size()) <= all.size())
    fail("majorities of the members at epochs " + std::to_string(before.epoch.value()) + " and " +
         std::to_string(after.epoch.value()) + " need not meet");
}

void Observer::contains_acknowledged(const Metadata& m) {
  for (auto& a : acknowledged_)
    if (m.epoch >= a.epoch && !m.epoch_of_commit(a.commit))
      fail("acknowledged change " + a.commit + " is missing at epoch " + std::to_string(m.epoch.value()) +
           " of generation " + std::to_string(m.generation));
}

void Observer::sent(const Envelope& e) {
  auto& t = told_[e.from_incarnation];
  if (auto* h = std::get_if<Heartbeat>(&e.body))
    t.epoch = std::max(t.epoch, h->known);
  if (auto* h = std::get_if<HeartbeatReply>(&e.body))
    t.epoch = std::max(t.epoch, h->epoch);
  if (auto* p = std::get_if<Promise>(&e.body); p && p->granted)
    if (std::tie(p->epoch, p->ballot) > std::tie(t.promised_at, t.promised))
      t.promised_at = p->epoch, t.promised = p->ballot;
  if (auto* a = std::get_if<Accepted>(&e.body); a && a->granted)
    if (std::tie(a->epoch, a->ballot) > std::tie(t.accepted_at, t.accepted))
      t.accepted_at = a->epoch, t.accepted = a->ballot;
}

void Observer::restarted(Incarnation incarnation, const Durable& d) {
  auto i = told_.find(incarnation);
  if (i == told_.end())
    return;
  auto& t = i->second;
  auto who = "incarnation " + hex(incarnation.value()) + " ";
  t.generation = d.generation;  // what it had not told may be lost
  if (d.epoch < t.epoch)
    fail(who + "told epoch " + std::to_string(t.epoch.value()) + " and went back by a restart");
  bool promise_kept = d.epoch >= t.promised_at || (d.open == t.promised_at && d.promised >= t.promised);
  if (t.promised_at.value() && !promise_kept)
    fail(who + "forgot a promise by a restart");
  bool vote_kept =
      d.epoch >= t.accepted_at || (d.open == t.accepted_at && d.accepted && d.accepted->ballot >= t.accepted);
  if (t.accepted_at.value() && !vote_kept)
    fail(who + "forgot a vote by a restart");
}

void Observer::one_for_each_base(const std::string& id, const Transformation& t) {
  auto* c = std::get_if<ApplyConfiguration>(&t);
  if (!c)
    return;
  auto [i, fresh] = by_base_.emplace(c->base, id);
  if (!fresh && i->second != id)
    fail("two changes on one base were acknowledged: " + i->second + ", " + id);
}

void Observer::answered(const Transformation& t, const CommitReply& r) {
  if (r.outcome == CommitOutcome::unknown)
    return;
  if (r.outcome == CommitOutcome::committed) {
    one_for_each_base(r.id, t);
    if (rejected_.count(r.id))
      fail("change " + r.id + " was refused and then acknowledged");
    auto known = [&](auto& a) {
      return a.commit == r.id;
    };
    if (std::none_of(acknowledged_.begin(), acknowledged_.end(), known))
      acknowledged_.push_back({r.id, r.epoch, t});
    return majority_holds_acknowledged();
  }
  rejected_.insert(r.id);
  if (newest_->epoch_of_commit(r.id))
    return fail("change " + r.id + " was decided and then refused");
  if (apply(*newest_, Entry{next(newest_->epoch), r.id, t}).ok())
    fail("change " + r.id + " was refused though the newest epoch takes it");
}

void Observer::disks(std::map<Incarnation, Durable> disks) {
  disks_ = std::move(disks);
  majority_holds_acknowledged();
}

void Observer::majority_holds_acknowledged() {
  auto& m = *newest_;
  if (m.generation != 1)
    return;  // the members that a re-founding names come empty; `contains_acknowledged` holds on
  for (auto& a : acknowledged_) {
    size_t lacking = 0;
    for (auto id : m.members) {
      auto i = disks_.find(m.find(id)->self.incarnation);
      lacking += i != disks_.end() && !holds(i->second, m.generation, a.epoch, a.commit);
    }
    if (lacking >= majority_of(m.members.size()))
      fail("a majority of the members at epoch " + std::to_string(m.epoch.value()) + " lacks the acknowledged change " +
           a.commit);
  }
}

}  // namespace mosskeel::model
