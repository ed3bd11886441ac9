#include "routing/turn_client.hpp"
#include "history/constants.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

const Daemon* TurnClient::owner(const std::string& program) const {
  auto& m = *metadata_log_.view();
  auto n = turn_history_name(program);
  auto s = partition_of(n.cell, n.program);
  return s.value() < m.partitions.size() ? m.find(m.partitions[s.value()].owner) : nullptr;
}

template <class T>
bool TurnClient::send(Open<T>& x, Millis now) {
  auto* d = owner(x.body.program);
  if (!d || d->state == DaemonState::down || d->state == DaemonState::left)
    return false;
  x.last = now;
  x.owner = d->id;
  out_.send(d->self.address, x.body, d->self.incarnation);
  return true;
}

bool TurnClient::handle(const Envelope& e, Millis now) {
  bool own = e.from == kRoutingAddress;
  if (auto* a = std::get_if<ReserveTurn>(&e.body); a && own) {
    send(asks_[a->attempt] = {*a, now, 0, {}}, now);
    return true;
  }
  if (auto* s = std::get_if<CommitTurn>(&e.body); s && own) {
    asks_.erase(s->attempt);
    running_.erase(s->attempt);
    send(ends_[s->attempt] = {*s, now, 0, {}}, now);
    return true;
  }
  if (auto* g = std::get_if<ReserveTurnReply>(&e.body)) {
    auto i = asks_.find(g->attempt);
    auto x = overtaken_.find(g->attempt);
    if (x != overtaken_.end() && g->status == 200) {
      send(ends_[g->attempt] = {std::move(x->second.first), now, 0, {}}, now);
      overtaken_.erase(x);
    }
    if (i == asks_.end())
      return true;
    if (g->status == 0) {
      i->second.owner = {};
      return true;
    }
    if (g->status == 200)
      running_.insert(g->attempt);
    else
      out_.note(Event::turn_refused, g->attempt + " with " + std::to_string(g->status) + ": " + g->reason);
    asks_.erase(i);
    out_.send(kRoutingAddress, *g);
    return true;
  }
  if (auto* s = std::get_if<CommitTurnReply>(&e.body)) {
    auto i = ends_.find(s->attempt);
    if (i == ends_.end())
      return true;
    if (!s->committed && i->second.body.status == 0)
      overtaken_[s->attempt] = {std::move(i->second.body), now};
    ends_.erase(i);
    out_.send(kRoutingAddress, *s);
    return true;
  }
  return false;
}

void TurnClient::tick(Millis now) {
  std::erase_if(overtaken_, [&](auto& x) { return now - x.second.second > kOutcomeTransferTimeout; });
  auto moved = [&](auto& x) {
    auto* d = owner(x.body.program);
    return d && d->id != x.owner;
  };
  auto due = [&](auto& x) {
    return now - x.last >= kStoreRetryInterval || (moved(x) && now - x.last >= kTickInterval);
  };
  for (auto i = asks_.begin(); i != asks_.end();) {
    auto& x = i->second;
    if (now - x.born > std::min(kTurnReservationTimeout, x.body.timeout_ms)) {
      auto a = x.body;
      i = asks_.erase(i);
      send(ends_[a.attempt] = {CommitTurn{a.attempt, a.program, 0, 0, false, {}}, now, 0, {}}, now);
      out_.send(kRoutingAddress,
                ReserveTurnReply{a.attempt, 503, kDefaultRetryAfter, "the program's owner does not answer", {}});
      continue;
    }
    if (due(x))
      send(x, now);
    ++i;
  }
  for (auto i = ends_.begin(); i != ends_.end();) {
    if (now - i->second.born > kOutcomeTransferTimeout) {
      out_.send(kRoutingAddress, CommitTurnReply{i->first, false});
      i = ends_.erase(i);
      continue;
    }
    if (due(i->second))
      send(i->second, now);
    ++i;
  }
}

}  // namespace mosskeel
