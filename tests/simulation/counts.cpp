// Simulated callers of plain requests that may not be repeated: counts and fixes.
#include "simulation/callers.hpp"

namespace mosskeel::sim {

void Callers::count() {
  auto c = std::make_shared<Count>();
  auto n = std::to_string(++next_);
  c->path = "/counts/" + n;
  if (w_.chance(0.7))
    c->key = "c" + n;
  counts_[c->path] = c;
  ask(c);
  if (!c->key.empty() && w_.chance(0.2))
    ask(c);
}

void Callers::ask(std::shared_ptr<Count> c) {
  auto front = pick_front();
  if (front.empty())
    return;
  ++c->tries;
  ++c->asked;
  auto settled = std::make_shared<bool>(false);
  auto finish = [=, this](const ProgramResponse* e, bool own = false) {
    if (*settled)
      return;
    *settled = true;
    --c->asked;
    if (!e && own)
      ++lost_sessions;
    if (!e || e->executed != Outcome::no)
      c->sure_not_run = false;
    if (e && e->status == 200) {
      if (!c->success)
        ++counted;
      c->success = c->done = true;
      if (e->body != "POST " + c->path)
        w_.fail("a success that is not the replica's whole answer: " + c->path + " gave " + e->body);
      return;
    }
    if (e ? e->executed == Outcome::unknown : !own)
      ++count_unknown;
    bool known =
        e && (e->reason.starts_with("kept outcome") || e->reason.find("will not be run again") != std::string::npos);
    if (c->key.empty() || known || c->tries >= tries) {
      if (!c->asked)
        c->done = true;
      return;
    }
    w_.at(w_.now() + Duration(e && e->retry_ms ? e->retry_ms : 300) + w_.below(200ms), [=, this] {
      if (!c->done)
        ask(c);
    });
  };
  ProgramRequest e{};
  e.attempt = "n" + std::to_string(w_.next_random());
  e.cell = "news";
  e.route = e.kind = "app";
  e.method = "POST";
  e.key = c->key;
  e.path = c->path;
  Envelope env{};
  env.from = session(
      front,
      [=](const Message& m) {
        if (auto* x = std::get_if<ProgramResponse>(&m))
          finish(x);
      },
      [=] { finish(nullptr); });
  env.body = e;
  w_.post(front, env);
  w_.at(w_.now() + patience(front), [=] { finish(nullptr, true); });
}

void Callers::judge_counts() {
  for (auto& [p, c] : counts_) {
    auto n = runs_["count" + p];
    if (n > 1)
      w_.fail("counted " + std::to_string(n) + " times: " + p + (c->key.empty() ? "" : " key " + c->key));
    if (c->success && n != 1)
      w_.fail("a success that no replica ran: " + p);
    if (c->done && !c->success && c->sure_not_run && n)
      w_.fail("refused as not run, yet counted: " + p);
  }
}

}  // namespace mosskeel::sim
