#include "traffic/turn_coordinator.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// Whether a reservation is this front's own: an attempt's id alone does not tell two fronts apart.
bool granted_to(const Metadata& m, const Record& reservation, Incarnation front) {
  auto* d = m.find(front);
  return reservation.runner == DaemonId{} || !d || d->id == reservation.runner;
}

}  // namespace

LineName turn_line(const std::string& program) {
  return {"=", program};
}

bool TurnCoordinator::mine(const LineName& n) const {
  auto& m = *led_.view();
  auto s = slot_of(n.cell, n.program);
  if (s.v >= m.slots.size()) return false;
  auto* d = m.find(m.slots[s.v].owner);
  return d && d->self.inc == out_.id().self.inc;
}

bool TurnCoordinator::busy(const LineName& n) const {
  auto on = [&](auto& x) { return x.second.line == n; };
  return std::any_of(asks_.begin(), asks_.end(), on) || std::any_of(ends_.begin(), ends_.end(), on);
}

TurnCoordinator::Tab& TurnCoordinator::tab(const LineName& n) {
  auto& t = tabs_[n];
  auto& v = keep_.records(n);
  if (t.term != keep_.term(n) || v.size() < t.seen) t = {keep_.term(n), 0, 0, 0, {}};
  for (; t.seen < v.size(); ++t.seen) {
    auto& r = v[t.seen];
    if (r.kind == RecordKind::ended) continue;
    auto& x = t.turns[r.key];
    if (r.kind == RecordKind::reservation && x.intent == none && x.settled == none) {
      x.intent = t.seen;
      t.reserved += r.tokens;
    } else if (r.kind == RecordKind::settled && x.settled == none) {
      x.settled = t.seen;
      x.status = r.status;
      t.spent += r.tokens;
      if (x.intent != none) t.reserved -= v[x.intent].tokens;
    }
  }
  return t;
}

std::string TurnCoordinator::chain(const LineName& n, const Tab& t, const std::string& turn) const {
  auto& v = keep_.records(n);
  std::vector<const Turn*> w;
  size_t bytes = 0;
  for (auto i = t.turns.find(turn); i != t.turns.end() && w.size() <= t.turns.size();) {
    auto& x = i->second;
    if (x.settled == none) break;
    w.push_back(&x);
    bytes += v[x.settled].output.size();
    if (x.intent == none) break;
    bytes += v[x.intent].input.size();
    i = v[x.intent].parent.empty() ? t.turns.end() : t.turns.find(v[x.intent].parent);
  }
  std::string s;
  s.reserve(bytes);
  for (auto i = w.rbegin(); i != w.rend(); ++i) {
    if ((*i)->intent != none) s += v[(*i)->intent].input;
    s += v[(*i)->settled].output;
  }
  return s;
}

TurnCoordinator::Verdict TurnCoordinator::refuse(const Pending& p, uint32_t status, std::string reason,
                                                 uint32_t retry_ms) {
  out_.send(p.from, TurnGrant{p.ask.attempt, status, retry_ms, std::move(reason), {}}, p.inc);
  return Verdict::over;
}

TurnCoordinator::Verdict TurnCoordinator::serve(Pending& p, Millis now) {
  auto& a = p.ask;
  if (!mine(p.line)) return refuse(p, 0, "another front owns the program", 0);
  switch (keep_.open(p.line, now)) {
    case HistoryWriter::State::open:
      break;
    case HistoryWriter::State::unavailable:
      return refuse(p, 503, "too few stores answer", limits::retry_ms);
    case HistoryWriter::State::fenced:
      return refuse(p, 0, "another front owns the program", 0);
    case HistoryWriter::State::opening:
      return Verdict::wait;
  }
  if (keep_.ended(p.line))
    return refuse(p, a.parent.empty() ? 503 : 404, "the program's retention is over", limits::retry_ms);
  auto& t = tab(p.line);
  if (auto i = t.turns.find(a.attempt); i != t.turns.end() && i->second.intent != none) {
    if (i->second.settled != none) return refuse(p, 409, "this attempt has an outcome already", 0);
    if (!granted_to(*led_.view(), keep_.records(p.line)[i->second.intent], p.inc))
      return refuse(p, 409, "this attempt was granted to another front", 0);
    p.mark = i->second.intent + 1;
  }
  if (p.mark == 0) {
    if (!a.parent.empty()) {
      auto i = t.turns.find(a.parent);
      if (i == t.turns.end()) return search(p, now);
      if (i->second.settled == none)
        return refuse(p, 503, "the turn before this one, " + a.parent + ", has no outcome yet", limits::retry_ms / 2);
      if (i->second.status != 200) return refuse(p, 404, "the turn before this one did not end whole", 0);
    }
    if (t.spent + t.reserved + a.most > a.budget) return refuse(p, 402, "the program's budget is spent", 0);
    auto* d = led_.view()->find(p.inc);
    Record r{};
    r.kind = RecordKind::reservation;
    r.key = a.attempt;
    r.tokens = a.most;
    r.runner = d ? d->id : DaemonId{};
    r.keep_ms = a.retention_ms;
    r.parent = a.parent;
    if (a.kept) r.input = a.input;
    p.mark = keep_.append(p.line, std::move(r), now);
    tab(p.line);
  }
  if (keep_.committed(p.line) < p.mark) return Verdict::wait;
  out_.send(p.from, TurnGrant{a.attempt, 200, 0, {}, a.parent.empty() ? "" : chain(p.line, t, a.parent)}, p.inc);
  return Verdict::over;
}

/// A turn of another program, taken over into this one's line as one record, for its owner may change at any point: any
/// store that has it settled has the chain. Missing is said only if all answer so.
TurnCoordinator::Verdict TurnCoordinator::search(Pending& p, Millis now) {
  p.searching = true;
  size_t lacking = 0;
  for (auto& [id, d] : led_.view()->directory) {
    if (d.self.role != Role::store || d.state == DaemonState::left || p.without.count(id)) continue;
    ++lacking;
    if (now - p.searched >= limits::line_retry) out_.send(d.self.addr, ChainFind{p.ask.parent}, d.self.inc);
  }
  if (now - p.searched >= limits::line_retry) p.searched = now;
  if (lacking == 0) return refuse(p, 404, "no store keeps the turn before this one", 0);
  if (now - p.born > limits::search_patience)
    return refuse(p, 503, "not all stores answer for the turn before", limits::retry_ms);
  return Verdict::wait;
}

void TurnCoordinator::found(const Envelope& e, const ChainFound& f, Millis now) {
  auto* d = led_.view()->find(e.from_inc);
  if (!d) return;
  for (auto i = asks_.begin(); i != asks_.end();) {
    auto& p = i->second;
    auto j = i++;
    if (!p.searching || p.ask.parent != f.turn) continue;
    if (!f.found) {
      p.without.insert(d->id);
    } else if (mine(p.line) && keep_.open(p.line, now) == HistoryWriter::State::open &&
               !tab(p.line).turns.count(f.turn)) {
      Record r{};
      r.kind = RecordKind::settled;
      r.key = f.turn;
      r.status = 200;
      r.keep_ms = p.ask.retention_ms;
      r.output = f.text;
      keep_.append(p.line, std::move(r), now);
    }
    if (f.found) p.searching = false;
    if (serve(p, now) == Verdict::over) asks_.erase(j);
  }
}

TurnCoordinator::Verdict TurnCoordinator::settle(Ending& x, Millis now) {
  auto& s = x.settle;
  auto say = [&](bool kept) {
    out_.send(x.from, TurnSettled{s.attempt, kept}, x.inc);
    return Verdict::over;
  };
  if (!mine(x.line)) return Verdict::over;
  if (keep_.open(x.line, now) != HistoryWriter::State::open)
    return now - x.born > limits::line_patience ? Verdict::over : Verdict::wait;
  auto& t = tab(x.line);
  auto i = t.turns.find(s.attempt);
  if (i == t.turns.end() || i->second.intent == none) return say(false);
  if (!granted_to(*led_.view(), keep_.records(x.line)[i->second.intent], x.inc)) return say(false);
  if (i->second.settled != none) {
    x.mark = i->second.settled + 1;
    if (i->second.status != s.status) return say(false);
  } else {
    Record r{};
    r.kind = RecordKind::settled;
    r.key = s.attempt;
    r.status = s.status;
    r.tokens = s.tokens;
    if (s.kept) r.output = s.output;
    x.mark = keep_.append(x.line, std::move(r), now);
    tab(x.line);
  }
  return keep_.committed(x.line) >= x.mark ? say(true) : Verdict::wait;
}

bool TurnCoordinator::on(const Envelope& e, Millis now) {
  if (auto* a = std::get_if<TurnAsk>(&e.body)) {
    auto [i, fresh] = asks_.try_emplace(a->attempt);
    if (fresh) i->second = {*a, e.from, e.from_inc, turn_line(a->program), now};
    if (serve(i->second, now) == Verdict::over) asks_.erase(i);
    return true;
  }
  if (auto* s = std::get_if<TurnSettle>(&e.body)) {
    if (auto i = asks_.find(s->attempt); i != asks_.end() && i->second.from == e.from) asks_.erase(i);
    auto [i, fresh] = ends_.try_emplace(s->attempt);
    if (fresh) i->second = {*s, e.from, e.from_inc, turn_line(s->program), now};
    if (settle(i->second, now) == Verdict::over) ends_.erase(i);
    return true;
  }
  if (auto* f = std::get_if<ChainFound>(&e.body)) {
    found(e, *f, now);
    return true;
  }
  return false;
}

void TurnCoordinator::advance(const std::set<LineName>& changed, Millis now) {
  for (auto i = asks_.begin(); i != asks_.end();)
    i = changed.count(i->second.line) && serve(i->second, now) == Verdict::over ? asks_.erase(i) : std::next(i);
  for (auto i = ends_.begin(); i != ends_.end();)
    i = changed.count(i->second.line) && settle(i->second, now) == Verdict::over ? ends_.erase(i) : std::next(i);
}

void TurnCoordinator::tick(Millis now) {
  for (auto i = asks_.begin(); i != asks_.end();)
    i = serve(i->second, now) == Verdict::over ? asks_.erase(i) : std::next(i);
  for (auto i = ends_.begin(); i != ends_.end();)
    i = settle(i->second, now) == Verdict::over ? ends_.erase(i) : std::next(i);
  std::erase_if(tabs_, [&](auto& t) { return keep_.term(t.first) != t.second.term; });
}

}  // namespace mosskeel
