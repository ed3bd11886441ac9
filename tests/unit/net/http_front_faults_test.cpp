// Whole front on real sockets, between replicas and callers that fail by seed: the right answer, once.
#include <sys/epoll.h>

#include "faulty_replica.hpp"
#include "routing/http_frontend.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;

namespace {

constexpr int callers_at_once = 12;

/// One try of a caller and what came back.
struct Try {
  std::string attempt, kind;
  uint32_t status = 0;
  std::string seal, named, body;
  bool over = false, whole = false, unsent = false;
};

struct Scene {
  EventLoop loop;
  RunLedger ledger;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FaultyReplica>> replicas;
  std::shared_ptr<RoutingSnapshot> snapshot;
  std::unique_ptr<HttpFrontend> front;
  std::map<uint64_t, Try> tries;
  int left, open = 0;
  bool caller_faults;
  UpstreamClient callers{loop,
                         {[this](uint64_t id, UpstreamClient::ResponseHead&& a) {
                            auto& t = tries.at(id);
                            t.status = a.status;
                            t.seal = header_value(a.fields, "Mosskeel-Server-Seal");
                            t.named = header_value(a.fields, "Mosskeel-Attempt-Id");
                          },
                          [this](uint64_t id, std::string_view s) { tries.at(id).body += s; },
                          [this](uint64_t id) { end(id, true, false); },
                          [this](uint64_t id, UpstreamClient::Delivery l, std::string) {
                            end(id, false, l == UpstreamClient::Delivery::not_sent);
                          }}};

  Scene(uint64_t seed, int requests, unsigned fault_percent, bool caller_faults_too)
      : random(seed), left(requests), caller_faults(caller_faults_too) {
    auto m = test::served();
    for (auto& [name, r] : m.replicas) {
      replicas.push_back(std::make_unique<FaultyReplica>(loop, ledger, random(), fault_percent));
      r.url = "http://" + replicas.back()->at();
    }
    for (auto& p : m.configuration.paths)
      p.timeout_ms = 250;
    snapshot = std::make_shared<RoutingSnapshot>(
        RoutingSnapshot{std::make_shared<Metadata>(m), DaemonId{1}, INT64_MAX, true, false});
    auto opened = HttpFrontend::open(
        loop, *find_protocol_codec("platform"), "127.0.0.1:0", [this] { return snapshot; }, [](Message) {});
    REQUIRE(opened.ok());
    front = std::move(opened).value();
    tick();
  }
  void tick() {
    loop.run_after(5, [this] { tick(); });
    front->tick();
  }
  void start() {
    for (int i = 0; i < callers_at_once; ++i)
      next();
  }
  void next() {
    if (left <= 0)
      return;
    --left;
    static const char* kinds[] = {"safe", "unsafe", "unsafe", "stream", "resume"};
    std::string kind = kinds[random() % std::size(kinds)];
    auto attempt = "a" + std::to_string(tries.size());
    bool twin = caller_faults && random() % 20 == 0;
    auto id = send(kind, attempt);
    if (twin)
      send(kind, attempt);
    if (!caller_faults || random() % 15)
      return;
    loop.run_after(static_cast<Millis>(random() % 15), [this, id] {
      if (tries.at(id).over)
        return;
      callers.cancel(id);
      end(id, false, false);
    });
  }
  uint64_t send(const std::string& kind, const std::string& attempt) {
    UpstreamClient::Request a{front->at(),
                              "POST",
                              "/" + kind + "/1",
                              {{"Host", "h.example"}, {"Mosskeel-Attempt-Id", attempt}},
                              "body of " + attempt};
    ++open;
    auto id = callers.send_request(std::move(a));
    tries[id] = {attempt, kind};
    return id;
  }
  void end(uint64_t id, bool whole, bool unsent) {
    auto& t = tries.at(id);
    if (std::exchange(t.over, true))
      return;
    t.whole = whole, t.unsent = unsent;
    --open;
    loop.run_after(static_cast<Millis>(random() % 3), [this] { next(); });
  }
  bool done() const { return open == 0 && left <= 0; }

  static bool repeatable(const std::string& kind) { return kind == "safe" || kind == "resume"; }
  static bool promises(uint32_t status) { return status == 408 || status == 421 || status == 429 || status == 503; }
  /// Each byte with its owner, each run counted by its attempt.
  void check() {
    for (auto& [id, t] : tries) {
      INFO(t.attempt << " on " << t.kind << " got " << t.status << (t.whole ? ", whole" : ", not whole"));
      if (!repeatable(t.kind))
        CHECK(ledger.runs[t.attempt] <= 1);
      if (!t.whole)
        continue;
      if (promises(t.status) && !repeatable(t.kind))
        CHECK(ledger.runs[t.attempt] == 0);
      if (t.status != 200)
        continue;
      CHECK(t.named == t.attempt);
      CHECK((!t.seal.empty() && ledger.bodies[t.attempt].count(t.seal)));
      CHECK(t.body == ledger.bodies[t.attempt][t.seal]);
    }
  }
  size_t served() const {
    return static_cast<size_t>(
        std::count_if(tries.begin(), tries.end(), [](auto& x) { return x.second.whole && x.second.status == 200; }));
  }
};

}  // namespace

TEST_CASE("replicas and callers that fail in every way: each answer is its request's own, nothing runs twice") {
  auto seed = GENERATE(range(1, 13));
  INFO("seed " << seed);
  Scene s(static_cast<uint64_t>(seed), 250, 40, true);
  s.start();
  auto until_done = monotonic_ms() + 30000;
  while (!s.done() && monotonic_ms() < until_done)
    turns(s.loop, 20);
  REQUIRE(s.done());
  turns(s.loop, 30);
  s.check();
  CHECK(s.served() > s.tries.size() / 3);
  CHECK(s.front->router().active_requests() == 0);
}

TEST_CASE("a front that drains under load loses no answer that it has begun") {
  auto seed = GENERATE(range(1, 51));
  INFO("seed " << seed);
  Scene s(static_cast<uint64_t>(seed), 150, 0, false);
  s.start();
  bool closing = false, draining = false;
  auto begun = monotonic_ms();
  REQUIRE(until(s.loop, [&] {
    auto t = monotonic_ms() - begun;
    if (t > 30 && !std::exchange(closing, true))
      s.front->close_after_responses();
    if (t > 60 && !std::exchange(draining, true))
      s.front->drain();
    return draining && s.done() && !s.front->has_active_callers();
  }));
  s.check();
  for (auto& [id, t] : s.tries) {
    INFO(t.attempt << " on " << t.kind);
    CHECK((t.whole || s.ledger.runs[t.attempt] == 0));
  }
  CHECK(s.served() > 0);
}
