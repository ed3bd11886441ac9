// What a world writes down and watches: messages in a replay's notes, epochs and values that must agree.
#include "sim/world.hpp"

namespace mosskeel::sim {

/// What a replay wants to know of messages about lines.
std::string detail(const Message& m) {
  auto num = [](uint64_t x) { return " " + std::to_string(x); };
  return std::visit(overload{[&](const LineRead& r) { return " " + r.line.program + " term" + num(r.term.v); },
                             [&](const LineReadReply& r) {
                               return " " + r.line.program + " term" + num(r.term.v) +
                                      (r.granted ? " line" : " denied") + num(r.line_term.v) + num(r.records.size());
                             },
                             [&](const LineWrite& r) {
                               return " " + r.line.program + " term" + num(r.term.v) + (r.adopt ? " adopt" : " from") +
                                      num(r.from) + " +" + num(r.records.size());
                             },
                             [&](const LineWriteReply& r) {
                               return " " + r.line.program + " term" + num(r.term.v) +
                                      (r.granted ? r.gap ? " gap" : " length" : " denied") + num(r.length);
                             },
                             [&](const Request& r) { return " " + r.program + " " + r.key; },
                             [&](const LateSettle& r) { return " " + r.line.program + " " + r.record.key; },
                             [&](const LinesFetched& r) {
                               std::string s;
                               for (auto& l : r.lines)
                                 s += " " + l.line.program + num(l.line_term.v) + num(l.records.size());
                               return s;
                             },
                             [&](const SlotStreamReply& r) {
                               std::string s;
                               for (auto& l : r.lines)
                                 s += " " + l.line.program + num(l.line_term.v) + num(l.records.size());
                               return s;
                             },
                             [](const auto&) { return std::string(); }},
                    m);
}

void World::look(Node& n) {
  auto v = n.machine->view();
  if (v->epoch == n.seen) return;
  if (v->epoch < n.seen)
    fail(n.name + " went back from epoch " + std::to_string(n.seen.v) + " to " + std::to_string(v->epoch.v));
  if (v->revision < n.revision) fail(n.name + " slid back from revision " + std::to_string(n.revision.v));
  n.seen = v->epoch;
  n.revision = v->revision;
  auto d = digest(codec::pack(*v));
  auto [i, fresh] = truth_.emplace(v->epoch, d);
  if (!fresh && i->second != d) fail(n.name + " holds another value at epoch " + std::to_string(v->epoch.v));
}

}  // namespace mosskeel::sim
