#include "simulation/day.hpp"

namespace mosskeel::sim {

void Day::close() {
  w.heal();
  w.net.loss = w.net.twice = 0;
  for (auto k : {Kind::controller, Kind::store, Kind::agent, Kind::gateway})
    for (auto& s : w.names(k)) {
      w.wake(s);
      w.node(s).disk.slow = {};
      if (!w.node(s).machine)
        w.start(s);
    }
  for (auto& [n, r] : c.replicas)
    r.up = true, r.fault.clear(), r.every = 0;
  bool served = false;
  auto once = std::make_shared<std::function<void()>>();
  *once = [this, once, &served] {
    c.turn("closing" + std::to_string(w.next_random()), "main", [&served, once](const Turn& x) {
      if (x.success)
        served = true;
      else
        (*once)();
    });
  };
  (*once)();
  if (!w.until(12000ms, [&] { return served; }))
    w.fail("not serving 12 s after the closing fault");
  w.run(1000ms);
  *once = [] {
  };
  c.judge();
}

/// Serving must go on between two moments of a trouble.
void must_serve(Day& d, Duration ms, const char* during) {
  auto before = d.c.successes;
  d.w.run(ms);
  if (d.c.successes < before + 5)
    d.w.fail(std::string("hardly served during ") + during + ": " + std::to_string(d.c.successes - before));
}

MetadataSnapshot latest(World& w) {
  MetadataSnapshot v;
  for (auto& s : w.names(Kind::controller))
    if (w.node(s).machine && (!v || w.node(s).machine->view()->epoch > v->epoch))
      v = w.node(s).machine->view();
  return v;
}

/// One acknowledged change of the configuration; its revision, or 0.
uint64_t change(Day& d, Duration patience) {
  auto v = latest(d.w);
  if (!v || v->configuration.cells.empty())
    return 0;
  auto m = v->configuration;
  m.cells[0].retention_ms += 1;
  auto got = std::make_shared<uint64_t>(0);
  auto over = std::make_shared<bool>(false);
  d.c.commit(
      ApplyConfiguration{v->revision, m},
      [=](const CommitReply& r) {
        if (r.outcome == CommitOutcome::committed)
          *got = v->revision.value() + 1;
        *over = true;
      },
      "", patience);
  d.w.until(patience + 100ms, [=] { return *over; });
  return *got;
}

void in_force(Day& d, uint64_t revision, Duration within) {
  auto& w = d.w;
  auto good = [&] {
    for (auto& s : w.names(Kind::gateway))
      if (w.node(s).machine && w.node(s).machine->view()->revision.value() < revision)
        return false;
    return true;
  };
  if (!w.until(within, good))
    w.fail("revision " + std::to_string(revision) + " was acknowledged and is not in force");
}

ProgramResponse ask(Day& d, ProgramRequest e, const std::string& front) {
  auto got = std::make_shared<std::optional<ProgramResponse>>();
  e.attempt = "t" + std::to_string(d.w.next_random());
  d.c.send(front, std::move(e), [got](const Message& m) {
    if (auto* x = std::get_if<ProgramResponse>(&m))
      *got = *x;
  });
  d.w.until(30000ms, [got] { return got->has_value(); });
  return got->value_or(ProgramResponse{});
}

}  // namespace mosskeel::sim
