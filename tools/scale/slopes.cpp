#include "scale/slopes.hpp"

#include <cstdio>
#include <ctime>
#include <fstream>

#include "scale/report.hpp"

namespace mosskeel::scale {
namespace {

/// A fleet in which only what is measured is large.
Plan base() {
  Plan p;
  p.daemons = 40, p.replicas = 20, p.paths = 10, p.cells = 10;
  return p;
}

struct Experiment {
  std::string name;
  std::vector<double> sizes;
  std::function<Row(double, uint64_t)> run;
};

std::vector<Experiment> experiments(int largest) {
  std::vector<double> fleet;
  for (auto n : {10.0, 40.0, 100.0, 200.0, 340.0})
    if (n <= largest)
      fleet.push_back(n);
  auto of = [](auto set) {
    return [set](double x) {
      auto p = base();
      set(p, static_cast<int>(x));
      return p;
    };
  };
  auto daemons = of([](Plan& p, int n) { p.daemons = n; });
  auto replicas = of([](Plan& p, int n) { p.replicas = n; });
  auto paths = of([](Plan& p, int n) { p.paths = n; });
  auto cells = of([](Plan& p, int n) { p.cells = n; });
  auto slots = of([](Plan& p, int n) { p.slots = n; });
  auto left = of([](Plan& p, int n) { p.left = n; });
  std::vector<Experiment> v{
      {"rest.daemons", fleet,
       [=](double x, uint64_t s) {
         return at_rest(daemons(x), s, x);
       }},
      {"rest.replicas",
       {20, 200, 600},
       [=](double x, uint64_t s) {
         return at_rest(replicas(x), s, x);
       }},
      {"rest.cells",
       {100, 1000, 18000},
       [=](double x, uint64_t s) {
         return at_rest(cells(x), s, x);
       }},
      {"change.daemons", fleet,
       [=](double x, uint64_t s) {
         return change(daemons(x), s, x);
       }},
      {"change.cells",
       {100, 1000, 18000},
       [=](double x, uint64_t s) {
         return change(cells(x), s, x);
       }},
      {"change.paths",
       {10, 200, 2000},
       [=](double x, uint64_t s) {
         return change(paths(x), s, x);
       }},
      {"value.daemons",
       {10, 40, 100, 340},
       [=](double x, uint64_t s) {
         return whole_value(daemons(x), s, x);
       }},
      {"value.replicas",
       {20, 200, 600},
       [=](double x, uint64_t s) {
         return whole_value(replicas(x), s, x);
       }},
      {"value.cells",
       {100, 1000, 18000},
       [=](double x, uint64_t s) {
         return whole_value(cells(x), s, x);
       }},
      {"value.paths",
       {10, 200, 2000},
       [=](double x, uint64_t s) {
         return whole_value(paths(x), s, x);
       }},
      {"value.slots",
       {64, 256, 1024},
       [=](double x, uint64_t s) {
         return whole_value(slots(x), s, x);
       }},
      {"value.left",
       {0, 1000, 10000},
       [=](double x, uint64_t s) {
         return whole_value(left(x), s, x);
       }},
      {"value.target",
       {1},
       [](double x, uint64_t s) {
         Plan p;
         p.remembered = 4096;
         return whole_value(p, s, x);
       }},
      {"selection.fronts",
       {10, 100, 340},
       [=](double x, uint64_t s) {
         auto p = daemons(x);
         p.replicas = 600;
         return selection(p, s, x);
       }},
      {"selection.replicas",
       {20, 200, 600},
       [=](double x, uint64_t s) {
         auto p = replicas(x);
         p.daemons = 340;
         return selection(p, s, x);
       }},
      {"turns.turns",
       {1, 10, 50, 250},
       [](double x, uint64_t s) {
         return conversation(4, static_cast<int>(x), s, x);
       }},
      {"turns.programs",
       {4, 40, 400},
       [](double x, uint64_t s) {
         return conversation(static_cast<int>(x), 10, s, x);
       }},
      {"histories.histories",
       {100, 1000, 4000},
       [](double x, uint64_t s) {
         return stored_histories(static_cast<int>(x), 4, s, x);
       }},
      {"histories.turns",
       {1, 10, 50},
       [](double x, uint64_t s) {
         return stored_histories(200, static_cast<int>(x), s, x);
       }},
      {"newcomer.daemons", fleet,
       [=](double x, uint64_t s) {
         return newcomer(daemons(x), s, x);
       }},
      {"newcomer.cells",
       {100, 1000, 18000},
       [=](double x, uint64_t s) {
         return newcomer(cells(x), s, x);
       }},
      {"restarts.daemons", fleet,
       [=](double x, uint64_t s) {
         return restarts(daemons(x), 5, s, x);
       }},
      {"row_of_130_restarts",
       {static_cast<double>(std::min(largest, 340))},
       [=](double x, uint64_t s) {
         auto p = daemons(x);
         p.replicas = 600;
         return restarts(p, 130, s, x);
       }},
      {"zone.daemons", fleet,
       [=](double x, uint64_t s) {
         return zone_lost(daemons(x), s, x);
       }},
      {"region.daemons", fleet,
       [=](double x, uint64_t s) {
         return region_cut(daemons(x), 5, s, x);
       }},
  };
  return v;
}

void plots(const std::string& out, const std::vector<Row>& rows) {
  auto curve = [&](const char* what, const char* figure, const char* label) {
    return Curve{label, points(rows, what, figure)};
  };
  write_svg(out + "/rest.svg", "A fleet at rest: bytes over the wire", "daemons", "bytes a second",
            {curve("rest.daemons", "agent.out.byte", "front out"), curve("rest.daemons", "agent.in.byte", "front in"),
             curve("rest.daemons", "controller.out.byte", "controller out"),
             curve("rest.daemons", "controller.in.byte", "controller in")});
  write_svg(out + "/change.svg", "One change of the configuration", "tenants in it", "bytes at one front",
            {curve("change.cells", "agent.more.byte", "front, in and out")});
  write_svg(
      out + "/turns.svg", "A turn late in its conversation", "turns before it", "bytes",
      {curve("turns.turns", "replica.ask.byte", "asked of the replica"),
       curve("turns.turns", "store.journal.byte", "journals"), curve("turns.turns", "gateway.out.byte", "fronts out")});
  write_svg(out + "/zone.svg", "A zone lost and back", "daemons in the fleet", "ms",
            {curve("zone.daemons", "down.ms", "all marked down"), curve("zone.daemons", "back.ms", "all back")});
}

}  // namespace

int slopes(const SlopesAsk& a) {
  std::vector<Row> rows;
  int bad = 0;
  for (auto& e : experiments(a.largest)) {
    if (!e.name.starts_with(a.only))
      continue;
    for (auto x : e.sizes)
      for (int s = 1; s <= a.seeds; ++s) {
        auto begun = time(nullptr);
        auto r = e.run(x, static_cast<uint64_t>(s));
        r.what = e.name;
        bad += r.counts.count("failures") && r.counts["failures"] > 0;
        printf("%-20s %6.0f seed %d: %lld s\n", e.name.c_str(), x, s, static_cast<long long>(time(nullptr) - begun));
        fflush(stdout);
        rows.push_back(std::move(r));
        write_csv(a.out + "/counts.csv", rows, false);
        write_csv(a.out + "/times.csv", rows, true);
      }
  }
  plots(a.out, rows);
  std::ofstream o(a.out + "/slopes.csv");
  o << "experiment,figure,base,slope,largest_distance\n";
  std::set<std::pair<std::string, std::string>> seen;
  for (auto& r : rows)
    for (auto* m : {&r.counts, &r.times})
      for (auto& [k, x] : *m)
        if (seen.insert({r.what, k}).second) {
          auto f = fit(points(rows, r.what, k));
          o << r.what << "," << k << "," << f.base << "," << f.slope << "," << f.off << "\n";
        }
  printf("%zu rows, %d with broken invariants\n", rows.size(), bad);
  return bad ? 1 : 0;
}

}  // namespace mosskeel::scale
