// The control plane's slopes: at rest, for one change, the value itself, choosing a replica.
#include <malloc.h>
#include <time.h>

#include <algorithm>

#include "base/json.hpp"
#include "consensus/controller_machine.hpp"
#include "scale/experiments.hpp"
#include "scale/field.hpp"

namespace mosskeel::scale {
namespace {

constexpr Millis settle = 4000, window = 3000;  // ms; the window holds whole numbers of all periods

double millis_of(const std::function<void()>& f) {
  timespec a, b;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
  f();
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
  return static_cast<double>(b.tv_sec - a.tv_sec) * 1e3 + static_cast<double>(b.tv_nsec - a.tv_nsec) / 1e6;
}

void add(Row& r, const std::string& who, const Tallies& t, double processes, double seconds) {
  auto put = [&](const char* way, const Kinds& kinds) {
    Tally all;
    for (auto& [k, x] : kinds) {
      all += x;
      r.counts[who + "." + way + "." + k + ".msg"] = static_cast<double>(x.count) / processes / seconds;
      r.counts[who + "." + way + "." + k + ".byte"] = static_cast<double>(x.bytes) / processes / seconds;
    }
    r.counts[who + "." + way + ".msg"] = static_cast<double>(all.count) / processes / seconds;
    r.counts[who + "." + way + ".byte"] = static_cast<double>(all.bytes) / processes / seconds;
  };
  put("out", t.out);
  put("in", t.in);
  put("loop", t.loop);
  r.counts[who + ".journal.byte"] = static_cast<double>(t.journal) / processes / seconds;
  r.counts[who + ".syncs"] = static_cast<double>(t.syncs) / processes / seconds;
  r.times[who + ".core_percent"] = static_cast<double>(t.nanos) / 1e7 / processes / seconds;
}

void add_all(Row& r, Field& f, double seconds) {
  for (auto p : {Part::controller, Part::store, Part::agent, Part::gateway})
    add(r, name(p), f.sum(p), static_cast<double>(f.all(p).size()), seconds);
}

Tally wire(const Tallies& t) {
  Tally x;
  for (auto& [k, y] : t.out)
    x += y;
  for (auto& [k, y] : t.in)
    x += y;
  return x;
}

}  // namespace

Row at_rest(const Plan& p, uint64_t seed, double size) {
  Row r{"rest", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  r.counts["fronts.ready"] = f.fronts_in_touch();
  f.forget();
  f.run(window);
  add_all(r, f, window / 1000.0);
  r.counts["failures"] = static_cast<double>(f.failures.size());
  return r;
}

Row change(const Plan& p, uint64_t seed, double size) {
  Row r{"change", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  f.forget();
  f.run(window);
  std::map<Part, std::pair<Tally, int64_t>> idle;
  const auto parts = {Part::controller, Part::store, Part::agent, Part::gateway};
  for (auto x : parts)
    idle[x] = {wire(f.sum(x)), f.sum(x).nanos};
  f.forget();
  auto& m = f.of(Part::controller, 0);
  auto v = m.machine->view();
  auto next_one = v->configuration;
  if (!next_one.cells.empty())
    next_one.cells[0].budget += 1;
  Envelope e{};
  e.from = "local:operator";
  e.cluster = v->cluster;
  e.epoch = v->epoch;
  e.body = Commit{"operator-" + std::to_string(seed), ApplyConfiguration{v->revision, next_one, {}}, v->epoch};
  std::vector<Millis> in_force;
  Millis begun = f.now(), acked = 0;
  f.took = [&](Station&, Epoch at) {
    if (at == next(v->epoch))
      in_force.push_back(f.now() - begun);
  };
  f.local = [&](Station&, const Envelope& x) {
    if (auto* c = std::get_if<CommitReply>(&x.body); c && c->outcome == CommitOutcome::committed)
      acked = f.now() - begun;
  };
  f.post(0, std::move(e));
  f.run(window);
  std::sort(in_force.begin(), in_force.end());
  auto at = [&](double q) {
    return in_force.empty() ? -1.0 : static_cast<double>(in_force[static_cast<size_t>(q * (in_force.size() - 1))]);
  };
  r.counts["in_force.ms.p50"] = at(0.5);
  r.counts["in_force.ms.p99"] = at(0.99);
  r.counts["in_force.ms.max"] = at(1);
  r.counts["in_force.fronts"] = static_cast<double>(in_force.size());
  r.counts["acknowledged.ms"] = static_cast<double>(acked);
  for (auto x : parts) {
    auto s = f.sum(x);
    auto n = static_cast<double>(f.all(x).size());
    std::string who = name(x);
    for (auto& [k, t] : s.out)
      if (k != "heartbeat" && k != "heartbeat-reply" && !k.starts_with("stream-partition") &&
          !k.starts_with("partition-checksum") && !k.starts_with("list-histories") && !k.starts_with("lease"))
        r.counts[who + ".out." + k + ".msg"] = static_cast<double>(t.count) / n,
                                     r.counts[who + ".out." + k + ".byte"] = static_cast<double>(t.bytes) / n;
    auto w = wire(s);
    r.counts[who + ".more.msg"] = (static_cast<double>(w.count) - static_cast<double>(idle[x].first.count)) / n;
    r.counts[who + ".more.byte"] = (static_cast<double>(w.bytes) - static_cast<double>(idle[x].first.bytes)) / n;
    r.counts[who + ".journal.byte"] = static_cast<double>(s.journal) / n;
    r.counts[who + ".syncs"] = static_cast<double>(s.syncs) / n;
    r.times[who + ".ms"] = static_cast<double>(s.nanos - idle[x].second) / 1e6 / n;
  }
  r.counts["failures"] = static_cast<double>(f.failures.size());
  return r;
}

Row whole_value(const Plan& p, uint64_t seed, double size) {
  Row r{"value", size, seed, {}, {}};
  auto m = rest(p, seats(p, seed));
  for (auto& [k, n] : tables(m))
    r.counts["bytes." + k] = static_cast<double>(n);
  auto entry = Entry{next(m.epoch), "op-1", ApplyConfiguration{m.revision, m.configuration, {}}};
  r.counts["bytes.entry"] = static_cast<double>(codec::pack(entry).size());
  r.counts["bytes.json"] = static_cast<double>(json::write(m.configuration).dump().size());
  const int times = 5;
  std::string bytes;
  std::vector<Metadata> copies;
  copies.reserve(times);
  auto before = mallinfo2().uordblks;
  r.times["copy.ms"] = millis_of([&] {
                         for (int i = 0; i < times; ++i)
                           copies.push_back(m);
                       }) /
                       times;
  r.counts["bytes.memory"] = static_cast<double>(mallinfo2().uordblks - before) / times;
  r.times["apply.configuration.ms"] = millis_of([&] {
                                        for (int i = 0; i < times; ++i)
                                          static_cast<void>(apply(m, entry));
                                      }) /
                                      times;
  r.times["apply.small.ms"] = millis_of([&] {
                                for (int i = 0; i < times; ++i)
                                  static_cast<void>(apply(m, {next(m.epoch), "", BeginQuorumChange{}}));
                              }) /
                              times;
  r.times["encode.ms"] = millis_of([&] {
                           for (int i = 0; i < times; ++i)
                             bytes = codec::pack(m);
                         }) /
                         times;
  r.times["decode.ms"] = millis_of([&] {
                           for (int i = 0; i < times; ++i)
                             codec::unpack<Metadata>(bytes);
                         }) /
                         times;
  r.times["digest.ms"] = millis_of([&] {
                           for (int i = 0; i < times; ++i)
                             digest(bytes);
                         }) /
                         times;
  auto spare = Daemon{DaemonId{m.next_id}, front(p, 1, seed).second.id.self, DaemonState::registered, m.epoch};
  r.times["plan_join.ms"] = millis_of([&] { placement::plan_join(m, spare); });
  r.times["find_daemon.ms"] = millis_of([&] {
                                for (int i = 0; i < times; ++i)
                                  m.find(m.directory.rbegin()->second.self.incarnation);
                              }) /
                              times;
  if (auto* c = m.configuration.cells.empty() ? nullptr : &m.configuration.cells.back())
    r.times["find_cell.ms"] = millis_of([&] {
                                for (int i = 0; i < times; ++i)
                                  m.configuration.cell(c->name);
                              }) /
                              times;
  return r;
}

Row selection(const Plan& p, uint64_t seed, double size) {
  Row r{"selection", size, seed, {}, {}};
  auto m = rest(p, seats(p, seed));
  auto me =
      std::find_if(m.directory.begin(), m.directory.end(), [](auto& d) { return d.second.self.role == Role::front; });
  ReplicaSelector n;
  ProgramRequest e{};
  e.cell = m.configuration.cells.at(0).name;
  e.route = "chat";
  e.kind = "model";
  ReplicaChoice choice;
  const int times = 10;
  auto select_for_each_program = [&] {
    for (int i = 0; i < times; ++i) {
      e.program = "p" + std::to_string(i);
      choice = n.select(e, m, me->second, 1);
    }
  };
  r.times["select_replica.ms"] = millis_of(select_for_each_program) / times;
  r.counts["found"] = choice.any_eligible;
  return r;
}

std::string page_row(int daemons, uint64_t seed) {
  Plan p;
  p.daemons = daemons, p.replicas = 20, p.paths = 10, p.cells = 10;
  auto a = at_rest(p, seed, daemons).counts, b = change(p, seed, daemons).counts;
  char s[300];
  snprintf(s, sizeof s, "| %d | %.1f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f |", daemons,
           a["agent.out.msg"] + a["agent.in.msg"], a["agent.out.byte"] + a["agent.in.byte"],
           a["controller.out.msg"] + a["controller.in.msg"], a["controller.out.byte"] + a["controller.in.byte"],
           b["agent.more.msg"], b["agent.more.byte"], b["in_force.ms.max"], b["acknowledged.ms"]);
  return s;
}

}  // namespace mosskeel::scale
