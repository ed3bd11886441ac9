// Simulated operators and platform.
#include "metadata/constants.hpp"
#include "simulation/callers.hpp"

namespace mosskeel::sim {

void Callers::commit(Transformation t, std::function<void(const CommitReply&)> then, std::string id,
                     Duration patience) {
  if (id.empty())
    id = "sim-" + std::to_string(w_.next_random());
  auto until = w_.now() + patience;
  asked(t);
  auto over = std::make_shared<bool>(false);
  auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [=, this] {
    if (*over)
      return;
    if (w_.now() >= until) {
      *over = true;
      CommitReply r{};
      r.id = id;
      r.outcome = CommitOutcome::unknown;
      return then(r);
    }
    std::vector<std::string> v;
    for (auto& s : w_.names(Kind::controller))
      if (w_.alive(s) && w_.node(s).machine->view()->cluster)
        v.push_back(s);
    auto mine = std::make_shared<bool>(false);
    if (!v.empty()) {
      auto m = v[w_.next_random() % v.size()];
      auto a = session(
          m,
          [=, this](const Message& x) {
            auto* r = std::get_if<CommitReply>(&x);
            if (!r || *over || *mine)
              return;
            *mine = true;
            if (r->outcome == CommitOutcome::unknown)
              return w_.at(w_.now() + 50ms, *attempt);
            *over = true;
            if (r->outcome == CommitOutcome::committed) {
              ++commits_yes;
              acknowledged(t);
              if (auto* man = std::get_if<ApplyConfiguration>(&t)) {
                Revision now{man->base.value() + 1};
                auto [i, fresh] = acked_.emplace(now, id);
                if (!fresh && i->second != id)
                  w_.fail("two changes on revision " + std::to_string(man->base.value()) + " were both acknowledged");
              }
            }
            then(*r);
          },
          [] {});
      Envelope e{};
      e.from = a;
      e.epoch = w_.node(m).machine->view()->epoch;
      e.cluster = w_.node(m).machine->view()->cluster;
      e.body = Commit{id, t, e.epoch};
      w_.post(m, e);
    }
    w_.at(w_.now() + 2300ms, [=] {
      if (!*mine)
        *mine = true, (*attempt)();
    });
  };
  (*attempt)();
}

/// From an acknowledgement on its limits count: for drains at a replica's door, for configurations at every front in
/// touch.
void Callers::acknowledged(const Transformation& t) {
  if (auto* s = std::get_if<SetReplica>(&t); s && s->replica.health == ReplicaHealth::draining)
    replicas[s->replica.name].leaving_since = w_.now();
  if (auto* z = std::get_if<EvacuateZone>(&t))
    for (auto& [n, r] : replicas)
      if (r.zone == z->zone)
        r.evacuated_since = w_.now();
  auto* m = std::get_if<ApplyConfiguration>(&t);
  if (!m)
    return;
  w_.at(w_.now() + 2100ms, [this, rev = Revision{m->base.value() + 1}] {
    for (auto& s : w_.names(Kind::gateway))
      if (w_.alive(s) && w_.ready(s) && w_.node(s).machine->view()->revision < rev)
        w_.fail(s + " serves without revision " + std::to_string(rev.value()) + " 2 s after its acknowledgement");
  });
}

/// From the asking on, a drain that is taken back is not in force any more.
void Callers::asked(const Transformation& t) {
  if (auto* s = std::get_if<SetReplica>(&t); s && s->replica.health != ReplicaHealth::draining)
    replicas[s->replica.name].leaving_since = {};
  if (auto* z = std::get_if<RestoreZone>(&t))
    for (auto& [n, r] : replicas)
      if (r.zone == z->zone)
        r.evacuated_since = {};
}

bool Callers::introduce() {
  int left = static_cast<int>(replicas.size()) + 1;
  for (auto& [n, r] : replicas)
    commit(
        SetReplica{{n, r.kind, r.zone, "http://" + n, ReplicaHealth::ready, {}, 0}},
        [&left](const CommitReply& c) { left -= c.outcome == CommitOutcome::committed; }, "", 60000ms);
  Cell c{"news", budget_, limit_, 3600000, {{"chat", "model", {}}, {"app", "app", {}}}};
  commit(
      ApplyConfiguration{Revision{0}, {{c}}},
      [&left](const CommitReply& r) { left -= r.outcome == CommitOutcome::committed; }, "", 60000ms);
  return w_.until(60000ms, [&] {
    if (left)
      return false;
    for (auto& s : w_.names(Kind::gateway))
      if (!w_.ready(s))
        return false;
    auto v = w_.node("gateway1").machine->view();
    for (auto& s : v->partitions)
      if (s.stores.size() < std::min<size_t>(kDefaultHistoryReplicas, w_.names(Kind::store).size()) || !s.owner.value())
        return false;
    return v->sequences.empty();
  });
}

}  // namespace mosskeel::sim
