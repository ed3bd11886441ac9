// How a store finds the chain of a turn whose program it is not told.
#include <algorithm>
#include <unordered_map>

#include "history/store_machine.hpp"

namespace mosskeel {
namespace {

/// The text of the chain that ends with this turn, or nothing where the history does not hold it whole.
std::optional<std::string> chain_of(const Records& v, const std::string& turn) {
  std::unordered_map<std::string, const Record*> reservations, settled;
  for (auto& r : v) {
    if (r.kind == RecordKind::reservation)
      reservations.emplace(r.key, &r);
    if (r.kind == RecordKind::outcome)
      settled.emplace(r.key, &r);
  }
  std::vector<std::string> parts;
  for (auto k = turn; !k.empty() && parts.size() <= 2 * v.size();) {
    auto i = reservations.find(k);
    auto s = settled.find(k);
    if (s == settled.end() || s->second->status != 200)
      return std::nullopt;
    parts.push_back(s->second->output);
    if (i == reservations.end())
      break;
    parts.push_back(i->second->input);
    k = i->second->parent;
  }
  std::string o;
  for (auto i = parts.rbegin(); i != parts.rend(); ++i)
    o += *i;
  return o;
}

}  // namespace

void StoreMachine::on(const Envelope& e, const FindChain& f) {
  FindChainReply a{f.turn, false, {}};
  for (auto& [partition, s] : slots_)
    for (auto& [n, l] : s.histories) {
      auto has = [&](auto& r) {
        return r.kind == RecordKind::outcome && r.key == f.turn;
      };
      if (a.found || std::none_of(l.records.rbegin(), l.records.rend(), has))
        continue;
      if (auto t = chain_of(l.records, f.turn))
        a.found = true, a.text = std::move(*t);
    }
  out_.send_synced(e.from, a, e.from_inc);
}

}  // namespace mosskeel
