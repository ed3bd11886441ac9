// How the admin_api commits, reads the newest metadata and learns what is in force.
#include <thread>

#include "kernel/daemon.hpp"
#include "controller/admin_api.hpp"

namespace mosskeel {

/// A store is not retired while another one lacks copies: the one that goes might be the last to hold a line.
std::string AdminApi::unsafe(const Transformation& t) {
  auto* p = std::get_if<PrepareDrain>(&t);
  auto v = host_.view();
  auto* d = p ? v->find(p->node) : nullptr;
  if (!d || d->self.role != Role::store) return "";
  std::string s;
  host_.ask([&](Machine& m, Millis now) {
    auto& h = static_cast<ControllerMachine&>(m).failure_detector();
    for (auto& [id, x] : v->directory) {
      if (x.self.role != Role::store || x.state != DaemonState::up) continue;
      auto* o = h.of(x.self.inc);
      if (!o || now - o->last > limits::silence)
        s += " daemon " + std::to_string(id.v) + " is silent;";
      else if (o->lacking)
        s += " daemon " + std::to_string(id.v) + " lacks copies in " + std::to_string(o->lacking) + " comparisons;";
    }
  });
  return s.empty() ? "" : "copies are lacking:" + s + " wait for the repair (metric slots_lacking must be 0)";
}

CommitReply AdminApi::commit(const Transformation& t, const std::string& id, Millis patience) {
  if (auto why = unsafe(t); !why.empty()) return {id, Outcome::no, why, host_.view()->epoch, std::nullopt, {}};
  auto [addr, words] = sessions_.open();
  auto until = process_now() + patience;
  CommitReply last{};
  last.id = id;
  last.outcome = Outcome::unknown;
  while (process_now() < until && !host_.stopped()) {
    auto v = host_.view();
    Envelope e{};
    e.from = addr;
    e.cluster = v->cluster;
    e.epoch = v->epoch;
    e.body = Commit{id, t, v->epoch};
    host_.post(std::move(e));
    auto m = words->pop(std::min<Millis>(rpc_ + limits::heartbeat, until - process_now()));
    if (!m) continue;
    if (auto* r = std::get_if<CommitReply>(&*m)) {
      last = *r;
      if (r->outcome != Outcome::unknown) break;
    }
  }
  sessions_.close(addr);
  return last;
}

CommitReply AdminApi::rebuild(const std::vector<DaemonId>& lost) {
  auto [addr, words] = sessions_.open();
  CommitReply r{};
  r.id = "the same sentence";
  r.outcome = Outcome::unknown;
  Envelope e{};
  e.from = addr;
  e.cluster = host_.view()->cluster;
  e.body = Rebuild{r.id, lost};
  host_.post(std::move(e));
  if (auto m = words->pop(rpc_))
    if (auto* x = std::get_if<CommitReply>(&*m)) r = *x;
  sessions_.close(addr);
  return r;
}

View AdminApi::latest() {
  View v = host_.view();
  host_.ask([&](Machine& m, Millis) { v = m.view(); });
  return v;
}

/// A rejection is confirmed by a majority at the highest epoch, and nothing is logged: so asking for what is never
/// granted, to forget a replica without a name, reads the newest metadata.
View AdminApi::newest(Millis until) {
  auto r = commit(DropReplica{""}, "read-" + hex(dice()), std::max<Millis>(0, until - process_now()));
  return r.outcome == Outcome::no ? latest() : nullptr;
}

Verdict AdminApi::settled(Epoch at, Millis until) {
  std::string why = "the machine has stopped";
  while (!host_.stopped()) {
    host_.ask([&](Machine& m, Millis now) { why = static_cast<ControllerMachine&>(m).lacking(at, now); });
    if (why.empty()) return {Verdict::Kind::done, ""};
    if (process_now() + limits::order_poll >= until) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(limits::order_poll));
  }
  return {Verdict::Kind::unclear, "epoch " + std::to_string(at.v) + " is not yet in force: " + why};
}

}  // namespace mosskeel
