// A stand-in of the platform's surroundings on loopback: the list, replicas, the operator, clients, and the checks.
#include <popt.h>
#include <signal.h>

#include <cstring>
#include <fstream>

#include "platform_stub/callers.hpp"
#include "platform_stub/operator.hpp"
#include "platform_stub/replicas.hpp"

using namespace mosskeel;
using namespace mosskeel::standin;

namespace {

struct Scene {
  World w;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::unique_ptr<Rogue> rogue;
  std::unique_ptr<List> list;
  Callers callers{w};
  Operator op{w};
  MonotonicTime begun{};
  Duration length;
  bool changing = false, changed = false;

  Scene(Plan p, Duration ms) : w(p), length(ms) {
    for (auto [service, n] : {std::pair{"model", 3}, {"app", 3}, {"app2", 2}, {"rogue", 1}})
      for (int i = 0; i < n; ++i)
        add(service, zones[i]);
    rogue = std::make_unique<Rogue>(w, Listed{"i-" + w.name(), "rogue", zones[0], w.plan.replica(19)});
    list = std::make_unique<List>(w, [this] {
      std::vector<Listed> v{rogue->listed};
      for (auto& r : replicas)
        if (r->listed.drained == MonotonicTime{} || monotonic_now() < r->listed.drained + list_lag + drain_time)
          v.push_back(r->listed);
      return v;
    });
  }
  Replica& add(const std::string& service, const std::string& zone) {
    Listed l{"i-" + w.name(), service, zone, w.plan.replica(static_cast<int>(replicas.size()))};
    if (service == "model")
      replicas.push_back(std::make_unique<Model>(w, l));
    else
      replicas.push_back(std::make_unique<App>(w, l));
    return *replicas.back();
  }

  void every(Duration ms, std::function<void()> f) {
    if (monotonic_now() > begun + length)
      return;
    f();
    w.loop.run_after(ms / 2 + Duration(w.roll(static_cast<uint64_t>(ms.count()))), [=, this] { every(ms, f); });
  }
  void traffic() {
    begun = monotonic_now();
    printf("traffic begins\n");
    fflush(stdout);
    every(170ms, [this] { callers.plain(Kind::safe, "safe"); });
    every(250ms, [this] { callers.plain(Kind::unsafe, "unsafe"); });
    if (!w.calm)
      every(500ms, [this] { callers.plain(Kind::safe, "rogue"); });
    every(500ms, [this] { callers.plain(Kind::stream, "stream"); });
    every(500ms, [this] { callers.plain(Kind::resumable, "resume"); });
    every(800ms, [this] { callers.program(true, false); });
    every(2000ms, [this] { callers.program(false, false); });
    every(4000ms, [this] { callers.program(w.roll(2), true); });
    every(2000ms, [this] { callers.astray(); });
    every(300ms, [this] {
      if (changed)
        return callers.plain(Kind::safe, "new");
    });
    every(700ms, [this] {
      if (!changing)
        return callers.plain(Kind::safe, "old");
      if (!changed)
        return;
      auto j = std::make_shared<Job>();
      j->route = "old";
      j->done = [this](uint32_t status, const std::string& a, bool) {
        if (status >= 200 && status < 300)
          w.book.violate(a + " is served on a route that was removed");
      };
      callers.send(j);
    });
    if (!w.calm)
      changes();
    w.loop.run_after(length + 200ms, [this] { wait(); });
  }
  /// The operator's work of a day, at its tenths.
  void changes() {
    // What was asked on a route shortly before its removal may be retried behind it.
    w.loop.run_after(length * 3 / 10 - 500ms, [this] { changing = true; });
    w.loop.run_after(length * 3 / 10, [this] { op.change([this] { changed = true; }); });
    w.loop.run_after(length * 4 / 10, [this] {
      replicas[0]->listed.draining = true;
      replicas[0]->listed.drained = monotonic_now();
      add("model", zones[0]).listed.cold_until = monotonic_now() + 5000ms;
    });
    w.loop.run_after(length * 5 / 10, [this] {
      op.evacuate(zones[2], true, [this] {
        for (auto& r : replicas)
          if (r->listed.zone == zones[2])
            r->evacuated = monotonic_now() + 5000ms;
      });
    });
    w.loop.run_after(length * 6 / 10, [this] { op.retire(); });
    w.loop.run_after(length * 9 / 10, [this] {
      for (auto& r : replicas)
        r->evacuated = {};
      op.evacuate(zones[2], false, [] {});
    });
  }
  void wait() {
    if (callers.open() && monotonic_now() < begun + length + 30000ms) {
      w.loop.run_after(100ms, [this] { wait(); });
      return;
    }
    if (callers.open())
      w.book.violate("requests stay open");
    op.read_back([this] { w.loop.stop(); });
  }
  void start(Duration patience) {
    auto end = monotonic_now() + patience;
    op.begin([this, end] { await(end); });
  }
  void await(MonotonicTime end) {
    if (callers.ready() < 3 && monotonic_now() < end) {
      w.loop.run_after(100ms, [this, end] { await(end); });
      return;
    }
    if (callers.ready() < 3)
      w.book.violate("not all fronts are ready");
    w.loop.run_after(2500ms, [this] { traffic(); });
  }
};

}  // namespace

int main(int argc, const char** argv) {
  char* dir = nullptr;
  int write = 0, seconds = 20, calm = 0;
  poptOption table[] = {
      {"dir", 'd', POPT_ARG_STRING, &dir, 0, "folder for settings and data", "DIR"},
      {"settings", 's', POPT_ARG_NONE, &write, 0, "write the daemons' settings, then exit", nullptr},
      {"seconds", 't', POPT_ARG_INT, &seconds, 0, "how long traffic lasts", "S"},
      {"calm", 'c', POPT_ARG_NONE, &calm, 0, "no faults: an answer that was begun may not be lost", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("standin", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "standin: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  if (!dir)
    return fprintf(stderr, "standin: dir: is missing\n"), 2;
  if (write)
    return write_settings(dir), 0;
  unsigned base = 0;
  if (!(std::ifstream(std::string(dir) + "/base") >> base))
    return fprintf(stderr, "standin: no settings there\n"), 2;
  signal(SIGPIPE, SIG_IGN);
  auto scene = std::make_unique<Scene>(Plan{static_cast<uint16_t>(base)}, std::chrono::seconds(seconds));
  scene->w.calm = calm;
  scene->start(40000ms);
  scene->w.loop.run();
  auto& b = scene->w.book;
  b.close();
  bool good = b.enough(0.95) && b.violations() == 0;
  fflush(stdout);
  return good ? 0 : 1;
}
