// How the admin API reaches the machine: commits through a session, and looks in the machine's own thread.
#include <thread>

#include "control/admin_api.hpp"
#include "control/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {

CommitReply AdminApi::commit(const Transformation& t, const std::string& id, Millis patience) {
  auto [address, words] = sessions_.open();
  auto until = process_now() + patience;
  CommitReply last{};
  last.id = id;
  last.outcome = CommitOutcome::unknown;
  while (process_now() < until && !host_.stopped()) {
    auto v = host_.view();
    Envelope e{};
    e.from = address;
    e.cluster = v->cluster;
    e.epoch = v->epoch;
    e.body = Commit{id, t, v->epoch, until - process_now()};
    host_.post(std::move(e));
    auto m = words->pop(std::min<Millis>(rpc_ + kHeartbeatInterval, until - process_now()));
    if (!m)
      continue;
    if (auto* r = std::get_if<CommitReply>(&*m)) {
      last = *r;
      if (r->outcome != CommitOutcome::unknown)
        break;
    }
  }
  sessions_.close(address);
  return last;
}

CommitReply AdminApi::commit_safely(const Transformation& t, const std::string& id) {
  std::string why;
  inspect([&](ControllerMachine& m, Millis now) { why = drain_hazard(m, t, now); });
  if (why.empty())
    return commit(t, id, await_);
  auto v = linearizable_read(*this, kOperatorRequestTimeout);
  if (!v)
    return {id, CommitOutcome::unknown, "no majority of the core answered in time", host_.view()->epoch, {}, {}};
  return {id, CommitOutcome::rejected, why, v->epoch, {}, {}, Rejection::busy};
}

CommitReply AdminApi::rebuild(const std::vector<DaemonId>& lost) {
  auto [address, words] = sessions_.open();
  CommitReply r{};
  r.id = "the same sentence";
  r.outcome = CommitOutcome::unknown;
  Envelope e{};
  e.from = address;
  e.cluster = host_.view()->cluster;
  e.body = RefoundRequest{r.id, lost};
  host_.post(std::move(e));
  if (auto m = words->pop(rpc_))
    if (auto* x = std::get_if<CommitReply>(&*m))
      r = *x;
  sessions_.close(address);
  return r;
}

void AdminApi::inspect(const std::function<void(ControllerMachine&, Millis)>& look) {
  host_.ask([&](Machine& m, Millis now) { look(static_cast<ControllerMachine&>(m), now); });
}

Millis AdminApi::now() {
  return process_now();
}

void AdminApi::pause(Millis ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace mosskeel
