// The parts of the traffic: events, paths, the choice of a replica.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

TEST_CASE("EventReader reads the same events wherever their bytes are split") {
  const std::string text =
      ": a comment\r\nid: 1\r\ndata: one\r\n\r\n"
      "mosskeel-weight-versions: 3\nid: 2\ndata: two\ndata:lines\n\n"
      "event: x\n\n"
      "data\nid: 3\n\ndata: cut";
  for (size_t at = 0; at <= text.size(); ++at) {
    EventReader r(true);
    r.read(std::string_view(text).substr(0, at));
    r.read(std::string_view(text).substr(at));
    CHECK(r.events() == 3);
    CHECK(r.data() == "one\ntwo\nlines\n\n");
    CHECK(r.last_id() == "3");
  }
  EventReader by_byte(true);
  for (char c : text)
    by_byte.read(std::string_view(&c, 1));
  CHECK(by_byte.data() == "one\ntwo\nlines\n\n");
  EventReader counts;
  counts.read(text);
  CHECK(counts.events() == 3);
  CHECK(counts.data().empty());
}

TEST_CASE("RouteTable finds the longest prefix of the path and ignores the query") {
  auto m = std::make_shared<Metadata>();
  for (auto p : {"/a/", "/a/b/", "/a/b/c/d/", "/q/"}) {
    m->configuration.paths.push_back(path(p, "safe", "app"));
    m->configuration.paths.back().prefix = p;
  }
  RouteTable t(m);
  auto led = [&](const char* target, const char* host = "h.example") {
    auto* p = t.find(host, target);
    return p ? p->prefix : "";
  };
  CHECK(led("/a/") == "/a/");
  CHECK(led("/a") == "");
  CHECK(led("/a/x") == "/a/");
  CHECK(led("/a/b/c/x") == "/a/b/");
  CHECK(led("/a/b/c/d/e/f?/q/") == "/a/b/c/d/");
  CHECK(led("/a/b?/c/d/") == "/a/");
  CHECK(led("/ab/") == "");
  CHECK(led("/q/x", "other.example") == "");
  CHECK(led("") == "");
  CHECK(led("/") == "");
}

TEST_CASE("select_service distributes requests by weight") {
  auto p = path("a", "safe", "app");
  p.shares = {{"app", 90}, {"none", 0}, {"model", 10}};
  std::map<std::string, int> n;
  for (uint64_t i = 0; i < 1000; ++i)
    ++n[*select_service(p, i)];
  CHECK(n == std::map<std::string, int>{{"app", 900}, {"model", 100}});
}

namespace {

struct Choice {
  Metadata m = served();
  LoadBalancer p;
  Millis now = 1000;
  void update(uint64_t me = 1) { p.update({std::make_shared<Metadata>(m), DaemonId{me}, 1000000, true, false}, now); }
  std::string take(uint64_t key = 0, const std::string& service = "app") {
    bool any = false;
    auto* r = p.pick({service, key, nullptr}, now, any);
    if (!r)
      return any ? "later" : "none";
    p.took(r->name, now);
    return r->name;
  }
};

}  // namespace

TEST_CASE("LoadBalancer prefers its own zone and uses another one when it is loaded") {
  Choice c;
  for (auto n : {"app2", "app3"})
    c.m.replicas[n].zone = "z2";
  c.update();
  CHECK(c.take() == "app1");
  std::set<std::string> seen;
  for (int i = 0; i < 20; ++i)
    seen.insert(c.take());
  CHECK(seen.size() == 3);
}

TEST_CASE("LoadBalancer gives no replica more than this front's share of its capacity") {
  Choice c;
  c.update();
  std::map<std::string, int> n;
  for (int i = 0; i < 100; ++i)
    ++n[c.take(7)];
  auto share = static_cast<int>(std::ceil(8 * kCapacityShareFactor / 2));
  CHECK(n["app1"] == share);
  CHECK(n["later"] == 100 - 3 * share);
  c.p.gave("app2");
  CHECK(c.take() == "app2");
}

TEST_CASE("LoadBalancer keeps a key on its replica when others are added") {
  Choice c;
  c.update();
  auto first = c.take(99);
  CHECK(c.take(99) == first);
  c.m.replicas["spare3"] = listed("spare3", "spare", "z1", 8);
  c.update();
  CHECK(c.take(99) == first);
}

TEST_CASE("LoadBalancer skips replicas that are backed off, leaving or evacuated") {
  Choice c;
  c.update();
  for (auto n : {"app1", "app2", "app3"})
    c.p.back_off(n, c.now + 50);
  CHECK(c.take() == "later");
  c.now += 50;
  CHECK(c.take().starts_with("app"));
  c.m.replicas["app1"].health = ReplicaHealth::draining;
  c.m.replicas["app2"].zone = "z9";
  c.m.evacuated = {"z9"};
  c.update();
  for (int i = 0; i < 4; ++i)
    CHECK(c.take() == "app3");
  c.m.replicas.erase("app3");
  c.update();
  CHECK(c.take() == "none");
}

TEST_CASE("LoadBalancer lets one front send to a cold replica and stays within its rate") {
  int used = 0;
  for (uint64_t me : {1, 2}) {
    Choice c;
    c.m.replicas = {{"app1", listed("app1", "app", "z1", 1000)}};
    c.m.replicas["app1"].health = ReplicaHealth::warming_up;
    c.m.configuration.services[0].cold_per_s = 19;
    c.update(me);
    std::vector<Millis> at;
    for (; c.now < 6000; ++c.now)
      while (c.take() == "app1")
        at.push_back(c.now);
    used += !at.empty();
    for (auto b = at.begin(), e = b; e != at.end(); ++e) {
      while (*e - *b >= 1000)
        ++b;
      CHECK(e - b < 19);
    }
    CHECK((at.empty() || at.size() > 5 * 19 / 2));
  }
  CHECK(used == 1);
}
