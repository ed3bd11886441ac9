// How the owner ends a history that has outlived its retention.
#include <algorithm>

#include "programs/gateway_machine.hpp"

namespace mosskeel {

/// What is left of an ended program is its name: nothing runs on it again, under no key and on no budget.
void GatewayMachine::gone(Ref w, Millis now) {
  bool fresh = w.e.kind == "history" || w.e.key == w.e.attempt;
  refuse(w, 410, "the program has ended: its retention is over", 0, now, fresh ? Outcome::no : Outcome::unknown);
}

/// A majority of the history's stores must say it, each by its own clock, and nothing may be under way.
void GatewayMachine::on(const Envelope& e, const HistoryExpired& x, Millis now) {
  auto* d = metadata_log_.view()->find(e.from_inc);
  if (!d || x.partition != partition_of(x.history.cell, x.history.program))
    return;
  auto s = history_writer_.open(x.history, now);
  if (s != HistoryWriter::State::open)
    return;
  auto& v = history_writer_.records(x.history);
  if (history_writer_.ended(x.history)) {
    if (history_writer_.committed_length(x.history) >= v.size())
      out_.send(e.from, WriteTombstone{x.history, x.partition, history_writer_.term(x.history)}, e.from_inc);
    return;
  }
  auto& said = aged_[x.history];
  said[d->id] = x.length;
  auto agrees = [&](DaemonId id) {
    auto i = said.find(id);
    return i != said.end() && i->second == v.size();
  };
  if (v.empty() || history_writer_.committed_length(x.history) < v.size() ||
      !history_writer_.has_quorum(x.history, agrees))
    return;
  if (std::any_of(works_.begin(), works_.end(), [&](auto& w) { return w.second.history == x.history; }))
    return;
  std::map<std::string, const Record*> last;
  for (auto& r : v)
    last[r.key] = &r;
  for (auto& [k, r] : last)
    if (r->kind == RecordKind::reservation && running_elsewhere(x.history, *r, now))
      return;
  Record r{};
  r.kind = RecordKind::ended;
  history_writer_.append(x.history, r, now);
  aged_.erase(x.history);
  ++metrics_["histories_expired"];
}

}  // namespace mosskeel
