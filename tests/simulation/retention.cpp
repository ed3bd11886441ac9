// Retention runs out, is shortened and lengthened, and cells go and come back, while turns are kept.
#include "metadata/constants.hpp"
#include "simulation/day.hpp"

namespace mosskeel::sim {
namespace {

constexpr Duration keep = 20000ms;

/// One program's conversation, and what it was promised.
struct Kept {
  std::string cell, program, key;
  TimePoint acked{};
  Duration promise{};
};

struct Asker {
  Day& d;
  std::vector<Kept> kept;
  int n = 0;

  ProgramResponse go(ProgramRequest e) {
    for (int i = 0; i < 20; ++i) {
      auto r = ask(d, e, d.any(Kind::gateway));
      if (r.status && r.status != 503)
        return r;
      d.w.run(300ms);
    }
    return {};
  }
  ProgramResponse turn(const std::string& cell, const std::string& program, const std::string& key) {
    ProgramRequest e{};
    e.kind = "model", e.route = "chat", e.thread = "main";
    e.cell = cell, e.program = program, e.key = key, e.body = "say " + key;
    return go(std::move(e));
  }
  ProgramResponse read(const Kept& k) {
    ProgramRequest e{};
    e.kind = "history";
    e.cell = k.cell, e.program = k.program;
    return go(std::move(e));
  }
  void add(const std::string& cell, Duration promise) {
    auto name = "r" + std::to_string(++n), key = "key" + std::to_string(n);
    if (turn(cell, name, key).status == 200)
      kept.push_back({cell, name, key, d.w.now(), promise});
    else
      d.w.fail("a turn of cell " + cell + " failed");
  }
  /// Applies this list of cells beside the first one.
  void cells(const std::vector<Cell>& v) {
    auto m = latest(d.w)->configuration;
    m.cells.resize(1);
    for (auto& c : v)
      m.cells.push_back(c);
    auto over = std::make_shared<bool>(false);
    d.c.commit(ApplyConfiguration{latest(d.w)->revision, m},
               [over](const CommitReply& r) { *over = r.outcome == CommitOutcome::committed; });
    if (!d.w.until(10000ms, [over] { return *over; }))
      d.w.fail("the configuration was not acknowledged");
    d.w.run(300ms);
  }
  void expect(const Kept& k, uint32_t status, const char* when) {
    if (auto r = read(k); r.status != status)
      d.w.fail(k.program + " of cell " + k.cell + " gave " + std::to_string(r.status) + " (" + r.reason + ") " + when +
               ", " + std::to_string((d.w.now() - k.acked).count()) + " ms after its turn");
  }
};

Cell brief(const std::string& name, Duration ms) {
  return {name, 400, 10, ms.count(), {{"chat", "model", {}}, {"app", "app", {}}}};
}

}  // namespace

void retention(Day& d) {
  auto& w = d.w;
  Asker a{d, {}};
  d.c.traffic(150ms, w.now() + 20000ms);
  a.cells({brief("plain", keep), brief("cut", 4 * keep), brief("gone", keep)});
  for (int i = 0; i < 4; ++i)
    for (auto* c : {"plain", "cut", "gone"})
      a.add(c, std::string(c) == "cut" ? 4 * keep : keep);
  a.cells({brief("plain", 3 * keep), brief("cut", 1000ms)});
  a.add("plain", 3 * keep);
  auto s = d.any(Kind::store);
  w.kill(s);
  w.run(1000ms);
  w.start(s);
  a.cells({brief("plain", keep), brief("cut", 1000ms), brief("gone", keep)});
  for (auto& k : a.kept)
    if (k.cell == "cut" && a.turn(k.cell, k.program, k.key + "-short").status != 200)
      w.fail("a second turn failed");
  w.node(d.any(Kind::store)).rate = 30;
  auto at = [&](Duration after) {
    w.run(std::max(Duration::zero(), a.kept.front().acked + after - w.now()));
  };
  at(keep - 500ms);
  for (auto& k : a.kept)
    if (w.now() < k.acked + k.promise)
      a.expect(k, 200, "inside its retention");
  s = d.any(Kind::store);
  w.kill(s);
  w.run(200ms);
  w.start(s);
  for (auto& f : w.names(Kind::gateway))
    w.kill(f), w.run(100ms), w.start(f);
  at(4 * keep - 1500ms);
  for (auto& k : a.kept)
    if (k.promise == 4 * keep && w.now() < k.acked + k.promise)
      a.expect(k, 200, "after its cell's retention was shortened");
  at(keep + 100000ms);
  for (auto& k : a.kept) {
    if (k.promise > keep)
      continue;
    a.expect(k, 410, "after its end");
    auto before = d.c.runs(k.program, k.key);
    for (auto key : {k.key, k.key + "-new"}) {
      auto r = a.turn(k.cell, k.program, key);
      if (r.status != 410)
        w.fail("an ended program took a turn: " + std::to_string(r.status) + " " + r.reason);
    }
    if (d.c.runs(k.program, k.key) != before || d.c.runs(k.program, k.key + "-new"))
      w.fail("a turn of an ended program ran");
  }
  at(4 * keep + 110000ms);
  for (auto& k : a.kept)
    a.expect(k, 410, "at the end");
  for (auto& n : w.names(Kind::store))
    for (auto& [id, x] : static_cast<StoreMachine&>(*w.node(n).machine).partitions())
      for (auto& [l, y] : x.histories)
        if (l.cell != "news")
          w.fail(n + " still keeps " + l.cell + "/" + l.program);
}

/// A store is away while histories are written; once repair says that nothing is lacking, all stores hold the same.
void idle_histories(Day& d) {
  auto& w = d.w;
  auto stores = w.names(Kind::store);
  auto away = d.any(Kind::store);
  d.c.traffic(80ms, w.now() + 8000ms);
  w.run(500ms + w.below(1500ms));
  bool frozen = w.chance(0.4);
  if (frozen)
    w.freeze(away);
  else
    w.power_off(away);
  w.run(12000ms);
  if (frozen)
    w.wake(away);
  else
    w.start(away);
  w.run(1000ms);
  auto machine = [&](const std::string& s) -> StoreMachine& {
    return static_cast<StoreMachine&>(*w.node(s).machine);
  };
  auto whole = [&] {
    auto v = latest(w);
    if (!v || !v->sequences.empty())
      return false;
    for (auto& s : stores) {
      auto* me = w.node(s).machine ? machine(s).view()->find(w.node(s).id.self.incarnation) : nullptr;
      if (!me || me->state != DaemonState::up || machine(s).repair().incomplete_comparisons())
        return false;
    }
    return true;
  };
  auto same = [&] {
    size_t histories = 0;
    for (uint32_t i = 0; i < kPartitionCount; ++i) {
      std::map<HistoryName, Records> first;
      for (auto& s : stores) {
        std::map<HistoryName, Records> v;
        if (auto x = machine(s).partitions().find(PartitionId{i}); x != machine(s).partitions().end())
          for (auto& [n, l] : x->second.histories)
            v[n] = l.records;
        if (s == stores.front())
          first = v, histories += v.size();
        else if (v != first)
          return w.fail(s + " holds other histories of slot " + std::to_string(i) + " than " + stores.front());
      }
    }
    if (histories < 50)
      w.fail("hardly any histories to compare: " + std::to_string(histories));
  };
  if (!w.until(30000ms, whole))
    w.fail("repair did not come to its end");
  else
    same();
  if (!frozen && machine(away).repair().fetched() < 10)
    w.fail("the store that was away fetched hardly anything: " + std::to_string(machine(away).repair().fetched()));
  for (auto& f : w.names(Kind::gateway))
    w.kill(f), w.run(100ms), w.start(f);
  auto lost = stores[w.next_random() % stores.size()];
  while (lost == away)
    lost = stores[w.next_random() % stores.size()];
  w.wipe(lost);
  w.run(500ms);
  w.start(lost);
  w.run(8000ms);
  if (!w.until(30000ms, whole))
    w.fail("the copies of the lost disk were not restored");
  else
    same();
  for (auto& f : w.names(Kind::gateway))
    w.until(8000ms, [&] { return w.ready(f); });
}

}  // namespace mosskeel::sim
