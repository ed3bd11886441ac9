// How the owner ends a line that has outlived its retention.
#include <algorithm>

#include "request/gateway_machine.hpp"

namespace mosskeel {

/// What is left of an ended program is its name: nothing runs on it again, under no key and on no budget.
void GatewayMachine::gone(Ref w, Millis now) {
  bool fresh = w.e.kind == "history" || w.e.key == w.e.attempt;
  refuse(w, 410, "the program has ended: its retention is over", 0, now, fresh ? Outcome::no : Outcome::unknown);
}

/// A majority of the line's stores must say it, each by its own clock, and nothing may be under way.
void GatewayMachine::on(const Envelope& e, const LineAged& x, Millis now) {
  auto* d = led_.view()->find(e.from_inc);
  if (!d || x.slot != slot_of(x.line.cell, x.line.program)) return;
  auto s = keep_.open(x.line, now);
  if (s != HistoryWriter::State::open) return;
  auto& v = keep_.records(x.line);
  if (keep_.ended(x.line)) {
    if (keep_.committed(x.line) >= v.size())
      out_.send(e.from, LineBury{x.line, x.slot, keep_.term(x.line)}, e.from_inc);
    return;
  }
  auto& said = aged_[x.line];
  said[d->id] = x.length;
  auto agrees = [&](DaemonId id) {
    auto i = said.find(id);
    return i != said.end() && i->second == v.size();
  };
  if (v.empty() || keep_.committed(x.line) < v.size() || !keep_.agreed(x.line, agrees)) return;
  if (std::any_of(works_.begin(), works_.end(), [&](auto& w) { return w.second.line == x.line; })) return;
  std::map<std::string, const Record*> last;
  for (auto& r : v) last[r.key] = &r;
  for (auto& [k, r] : last)
    if (r->kind == RecordKind::reservation && running_elsewhere(x.line, *r, now)) return;
  Record r{};
  r.kind = RecordKind::ended;
  keep_.append(x.line, r, now);
  aged_.erase(x.line);
  ++metrics_["lines_ended"];
}

}  // namespace mosskeel
