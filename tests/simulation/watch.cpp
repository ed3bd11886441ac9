// What a world writes down and watches: messages in a replay's notes, epochs and values that must agree.
#include "simulation/world.hpp"

namespace mosskeel::sim {

/// What a replay prints of messages about histories.
std::string detail(const Message& m) {
  auto num = [](uint64_t x) {
    return " " + std::to_string(x);
  };
  return std::visit(
      overload{[&](const ReadHistory& r) { return " " + r.history.program + " term" + num(r.term.value()); },
               [&](const ReadHistoryReply& r) {
                 return " " + r.history.program + " term" + num(r.term.value()) + (r.granted ? " history" : " denied") +
                        num(r.history_term.value()) + num(r.records.size());
               },
               [&](const AppendHistory& r) {
                 return " " + r.history.program + " term" + num(r.term.value()) + (r.replace ? " adopt" : " from") +
                        num(r.from) + " +" + num(r.records.size());
               },
               [&](const AppendHistoryReply& r) {
                 return " " + r.history.program + " term" + num(r.term.value()) +
                        (r.granted ? r.gap ? " gap" : " length" : " denied") + num(r.length);
               },
               [&](const ProgramRequest& r) { return " " + r.program + " " + r.key; },
               [&](const TransferTurnOutcome& r) { return " " + r.history.program + " " + r.record.key; },
               [&](const FetchHistoriesReply& r) {
                 std::string s;
                 for (auto& l : r.histories)
                   s += " " + l.history.program + num(l.history_term.value()) + num(l.records.size());
                 return s;
               },
               [&](const StreamPartitionReply& r) {
                 std::string s;
                 for (auto& l : r.histories)
                   s += " " + l.history.program + num(l.history_term.value()) + num(l.records.size());
                 return s;
               },
               [](const auto&) {
                 return std::string();
               }},
      m);
}

void World::look(Node& n) {
  auto v = n.machine->view();
  if (v->epoch == n.seen)
    return;
  if (v->epoch < n.seen)
    fail(n.name + " went back from epoch " + std::to_string(n.seen.value()) + " to " +
         std::to_string(v->epoch.value()));
  if (v->revision < n.revision)
    fail(n.name + " slid back from revision " + std::to_string(n.revision.value()));
  n.seen = v->epoch;
  n.revision = v->revision;
  auto d = digest(codec::encode(*v));
  auto [value, fresh] = truth_.emplace(std::make_pair(v->epoch, v->cluster), d);
  if (!fresh && value->second != d)
    fail(n.name + " holds another value at epoch " + std::to_string(v->epoch.value()));
  one_generation(n, *v);
}

/// An epoch has one value, but for one that the last disk lost: a core founded anew may use its number again. Then
/// nobody holds the old value any more, at that moment or later.
void World::one_generation(const Node& n, const Metadata& m) {
  auto epoch = std::to_string(m.epoch.value());
  auto [current, first] = generations_.emplace(m.epoch, m.cluster);
  if (first || current->second == m.cluster)
    return;
  if (truth_[{m.epoch, current->second}] == truth_[{m.epoch, m.cluster}])
    return;
  if (retired_.count({m.epoch, m.cluster}))
    return fail(n.name + " holds a value of an earlier core at epoch " + epoch);
  for (auto& [name, other] : nodes_) {
    auto held = other->machine ? other->machine->view() : nullptr;
    if (held && held->cluster == current->second && held->epoch >= m.epoch)
      fail(n.name + " founds epoch " + epoch + " anew, which " + name + " holds with another value");
  }
  retired_.insert({m.epoch, current->second});
  current->second = m.cluster;
}

}  // namespace mosskeel::sim
