#include "routing/turn_coordinator.hpp"
#include "history/constants.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// Whether a reservation is this front's own: an attempt's id alone does not tell two fronts apart.
bool granted_to(const Metadata& m, const Record& reservation, Incarnation front) {
  auto* d = m.find(front);
  return reservation.runner == DaemonId{} || !d || d->id == reservation.runner;
}

}  // namespace

HistoryName turn_history_name(const std::string& program) {
  return {"=", program};
}

bool TurnCoordinator::mine(const HistoryName& n) const {
  auto& m = *metadata_log_.view();
  auto s = partition_of(n.cell, n.program);
  if (s.value() >= m.partitions.size())
    return false;
  auto* d = m.find(m.partitions[s.value()].owner);
  return d && d->self.incarnation == out_.id().self.incarnation;
}

bool TurnCoordinator::busy(const HistoryName& n) const {
  auto on = [&](auto& x) {
    return x.second.history == n;
  };
  return std::any_of(asks_.begin(), asks_.end(), on) || std::any_of(ends_.begin(), ends_.end(), on);
}

TurnCoordinator::Tab& TurnCoordinator::tab(const HistoryName& n) {
  auto& t = tabs_[n];
  auto& v = history_writer_.records(n);
  if (t.term != history_writer_.term(n) || v.size() < t.seen)
    t = {history_writer_.term(n), 0, 0, 0, {}};
  for (; t.seen < v.size(); ++t.seen) {
    auto& r = v[t.seen];
    if (r.kind == RecordKind::ended)
      continue;
    auto& x = t.turns[r.key];
    if (r.kind == RecordKind::reservation && x.reservation == none && x.settled == none) {
      x.reservation = t.seen;
      t.reserved += r.tokens;
    } else if (r.kind == RecordKind::outcome && x.settled == none) {
      x.settled = t.seen;
      x.status = r.status;
      t.spent += r.tokens;
      if (x.reservation != none)
        t.reserved -= v[x.reservation].tokens;
    }
  }
  return t;
}

std::string TurnCoordinator::chain(const HistoryName& n, const Tab& t, const std::string& turn) const {
  auto& v = history_writer_.records(n);
  std::vector<const Turn*> w;
  size_t bytes = 0;
  for (auto i = t.turns.find(turn); i != t.turns.end() && w.size() <= t.turns.size();) {
    auto& x = i->second;
    if (x.settled == none)
      break;
    w.push_back(&x);
    bytes += v[x.settled].output.size();
    if (x.reservation == none)
      break;
    bytes += v[x.reservation].input.size();
    i = v[x.reservation].parent.empty() ? t.turns.end() : t.turns.find(v[x.reservation].parent);
  }
  std::string s;
  s.reserve(bytes);
  for (auto i = w.rbegin(); i != w.rend(); ++i) {
    if ((*i)->reservation != none)
      s += v[(*i)->reservation].input;
    s += v[(*i)->settled].output;
  }
  return s;
}

TurnCoordinator::Verdict TurnCoordinator::refuse(const Pending& p, uint32_t status, std::string reason,
                                                 uint32_t retry_ms) {
  out_.send(p.from, ReserveTurnReply{p.ask.attempt, status, retry_ms, std::move(reason), {}}, p.incarnation);
  return Verdict::over;
}

TurnCoordinator::Verdict TurnCoordinator::serve(Pending& p, Millis now) {
  auto& a = p.ask;
  if (!mine(p.history))
    return refuse(p, 0, "another front owns the program", 0);
  switch (history_writer_.open(p.history, now)) {
    case HistoryWriter::State::open:
      break;
    case HistoryWriter::State::unavailable:
      return refuse(p, 503, "too few stores answer", kDefaultRetryAfter);
    case HistoryWriter::State::fenced:
      return refuse(p, 0, "another front owns the program", 0);
    case HistoryWriter::State::opening:
      return Verdict::wait;
  }
  if (history_writer_.ended(p.history))
    return refuse(p, a.parent.empty() ? 503 : 404, "the program's retention is over", kDefaultRetryAfter);
  auto& t = tab(p.history);
  if (auto i = t.turns.find(a.attempt); i != t.turns.end() && i->second.reservation != none) {
    if (i->second.settled != none)
      return refuse(p, 409, "this attempt has an outcome already", 0);
    if (!granted_to(*metadata_log_.view(), history_writer_.records(p.history)[i->second.reservation], p.incarnation))
      return refuse(p, 409, "this attempt was granted to another front", 0);
    p.mark = i->second.reservation + 1;
  }
  if (p.mark == 0) {
    if (!a.parent.empty()) {
      auto i = t.turns.find(a.parent);
      if (i == t.turns.end())
        return search(p, now);
      if (i->second.settled == none)
        return refuse(p, 503, "the turn before this one, " + a.parent + ", has no outcome yet", kDefaultRetryAfter / 2);
      if (i->second.status != 200)
        return refuse(p, 404, "the turn before this one did not end whole", 0);
    }
    if (t.spent + t.reserved + a.max_tokens > a.budget)
      return refuse(p, 402, "the program's budget is spent", 0);
    auto* d = metadata_log_.view()->find(p.incarnation);
    Record r{};
    r.kind = RecordKind::reservation;
    r.key = a.attempt;
    r.tokens = a.max_tokens;
    r.runner = d ? d->id : DaemonId{};
    r.retention_ms = a.retention_ms;
    r.parent = a.parent;
    if (a.keep_history)
      r.input = a.input;
    p.mark = history_writer_.append(p.history, std::move(r), now);
    tab(p.history);
  }
  if (history_writer_.committed_length(p.history) < p.mark)
    return Verdict::wait;
  out_.send(p.from, ReserveTurnReply{a.attempt, 200, 0, {}, a.parent.empty() ? "" : chain(p.history, t, a.parent)},
            p.incarnation);
  return Verdict::over;
}

/// A turn of another program, taken over into this one's history as one record, for its owner may change at any point:
/// any store that has it settled has the chain. Missing is said only if all answer so.
TurnCoordinator::Verdict TurnCoordinator::search(Pending& p, Millis now) {
  p.searching = true;
  size_t lacking = 0;
  for (auto& [id, d] : metadata_log_.view()->directory) {
    if (d.self.role != Role::store || d.state == DaemonState::left || p.without.count(id))
      continue;
    ++lacking;
    if (now - p.searched >= kStoreRetryInterval)
      out_.send(d.self.address, FindChain{p.ask.parent}, d.self.incarnation);
  }
  if (now - p.searched >= kStoreRetryInterval)
    p.searched = now;
  if (lacking == 0)
    return refuse(p, 404, "no store keeps the turn before this one", 0);
  if (now - p.born > kChainSearchTimeout)
    return refuse(p, 503, "not all stores answer for the turn before", kDefaultRetryAfter);
  return Verdict::wait;
}

void TurnCoordinator::found(const Envelope& e, const FindChainReply& f, Millis now) {
  auto* d = metadata_log_.view()->find(e.from_inc);
  if (!d)
    return;
  for (auto i = asks_.begin(); i != asks_.end();) {
    auto& p = i->second;
    auto j = i++;
    if (!p.searching || p.ask.parent != f.turn)
      continue;
    if (!f.found) {
      p.without.insert(d->id);
    } else if (mine(p.history) && history_writer_.open(p.history, now) == HistoryWriter::State::open &&
               !tab(p.history).turns.count(f.turn)) {
      Record r{};
      r.kind = RecordKind::outcome;
      r.key = f.turn;
      r.status = 200;
      r.retention_ms = p.ask.retention_ms;
      r.output = f.text;
      history_writer_.append(p.history, std::move(r), now);
    }
    if (f.found)
      p.searching = false;
    if (serve(p, now) == Verdict::over)
      asks_.erase(j);
  }
}

TurnCoordinator::Verdict TurnCoordinator::settle(Ending& x, Millis now) {
  auto& s = x.settle;
  auto say = [&](bool kept) {
    out_.send(x.from, CommitTurnReply{s.attempt, kept}, x.incarnation);
    return Verdict::over;
  };
  if (!mine(x.history))
    return Verdict::over;
  if (history_writer_.open(x.history, now) != HistoryWriter::State::open)
    return now - x.born > kHistoryQuorumTimeout ? Verdict::over : Verdict::wait;
  auto& t = tab(x.history);
  auto i = t.turns.find(s.attempt);
  if (i == t.turns.end() || i->second.reservation == none)
    return say(false);
  if (!granted_to(*metadata_log_.view(), history_writer_.records(x.history)[i->second.reservation], x.incarnation))
    return say(false);
  if (i->second.settled != none) {
    x.mark = i->second.settled + 1;
    if (i->second.status != s.status)
      return say(false);
  } else {
    Record r{};
    r.kind = RecordKind::outcome;
    r.key = s.attempt;
    r.status = s.status;
    r.tokens = s.tokens;
    if (s.keep_output)
      r.output = s.output;
    x.mark = history_writer_.append(x.history, std::move(r), now);
    tab(x.history);
  }
  return history_writer_.committed_length(x.history) >= x.mark ? say(true) : Verdict::wait;
}

bool TurnCoordinator::handle(const Envelope& e, Millis now) {
  if (auto* a = std::get_if<ReserveTurn>(&e.body)) {
    auto [i, fresh] = asks_.try_emplace(a->attempt);
    if (fresh)
      i->second = {*a, e.from, e.from_inc, turn_history_name(a->program), now};
    if (serve(i->second, now) == Verdict::over)
      asks_.erase(i);
    return true;
  }
  if (auto* s = std::get_if<CommitTurn>(&e.body)) {
    if (auto i = asks_.find(s->attempt); i != asks_.end() && i->second.from == e.from)
      asks_.erase(i);
    auto [i, fresh] = ends_.try_emplace(s->attempt);
    if (fresh)
      i->second = {*s, e.from, e.from_inc, turn_history_name(s->program), now};
    if (settle(i->second, now) == Verdict::over)
      ends_.erase(i);
    return true;
  }
  if (auto* f = std::get_if<FindChainReply>(&e.body)) {
    found(e, *f, now);
    return true;
  }
  return false;
}

void TurnCoordinator::advance(const std::set<HistoryName>& changed, Millis now) {
  for (auto i = asks_.begin(); i != asks_.end();)
    i = changed.count(i->second.history) && serve(i->second, now) == Verdict::over ? asks_.erase(i) : std::next(i);
  for (auto i = ends_.begin(); i != ends_.end();)
    i = changed.count(i->second.history) && settle(i->second, now) == Verdict::over ? ends_.erase(i) : std::next(i);
}

void TurnCoordinator::tick(Millis now) {
  for (auto i = asks_.begin(); i != asks_.end();)
    i = serve(i->second, now) == Verdict::over ? asks_.erase(i) : std::next(i);
  for (auto i = ends_.begin(); i != ends_.end();)
    i = settle(i->second, now) == Verdict::over ? ends_.erase(i) : std::next(i);
  std::erase_if(tabs_, [&](auto& t) { return history_writer_.term(t.first) != t.second.term; });
}

}  // namespace mosskeel
