// A whole HTTP frontend on real sockets, between replicas and callers that fail by seed: the right response, once.
#include <sys/epoll.h>

#include "faulty_replica.hpp"
#include "routing/http_frontend.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;

namespace {

constexpr int concurrent_callers = 12;
constexpr Duration path_timeout = 250ms;
constexpr Duration tick_interval = 5ms;
constexpr Duration test_timeout = 30000ms;

/// One attempt of a caller and what came back.
struct Attempt {
  std::string id, path;
  uint32_t status = 0;
  std::string seal, id_in_response, body;
  bool over = false, complete = false;

  bool idempotent() const { return path == "safe" || path == "resume"; }
  /// By its status the request has not run, and may be sent again.
  bool was_rejected() const { return status == 408 || status == 421 || status == 429 || status == 503; }
};

struct FaultsFixture {
  EventLoop loop;
  ReplicaRunLog log;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FaultyReplica>> replicas;
  std::shared_ptr<RoutingSnapshot> snapshot;
  std::unique_ptr<HttpFrontend> frontend;
  /// By the client's request id.
  std::map<uint64_t, Attempt> attempts;
  int requests_left;
  int open_attempts = 0;
  bool callers_fail;
  UpstreamClient callers{loop,
                         {[this](uint64_t request, UpstreamClient::ResponseHead&& head) {
                            auto& attempt = attempts.at(request);
                            attempt.status = head.status;
                            attempt.seal = header_value(head.fields, "Mosskeel-Server-Seal");
                            attempt.id_in_response = header_value(head.fields, "Mosskeel-Attempt-Id");
                          },
                          [this](uint64_t request, std::string_view bytes) { attempts.at(request).body += bytes; },
                          [this](uint64_t request) { end_attempt(request, true); },
                          [this](uint64_t request, UpstreamClient::Delivery, std::string) {
                            end_attempt(request, false);
                          }}};

  FaultsFixture(uint64_t seed, int requests, unsigned replica_fault_percent, bool callers_fail_too)
      : random(seed), requests_left(requests), callers_fail(callers_fail_too) {
    auto metadata = test::routing_metadata();
    for (auto& [name, replica] : metadata.replicas) {
      replicas.push_back(std::make_unique<FaultyReplica>(loop, log, random(), replica_fault_percent));
      replica.url = "http://" + replicas.back()->address();
    }
    for (auto& path : metadata.configuration.paths) {
      path.timeout_ms = path_timeout.count();
    }
    snapshot = std::make_shared<RoutingSnapshot>(
        RoutingSnapshot{std::make_shared<Metadata>(metadata), DaemonId{1}, TimePoint::max(), true});
    auto opened = HttpFrontend::open(
        loop, *find_protocol_codec("platform"), "127.0.0.1:0", [this] { return snapshot; }, [](Message) {});
    REQUIRE(opened.ok());
    frontend = std::move(opened).value();
    tick();
    for (int i = 0; i < concurrent_callers; ++i) {
      begin_next_request();
    }
  }
  void tick() {
    loop.run_after(tick_interval, [this] { tick(); });
    frontend->tick();
  }
  bool one_in(uint64_t count) { return random() % count == 0; }
  Duration random_delay(uint64_t bound) { return Duration(random() % bound); }

  void begin_next_request() {
    if (requests_left <= 0) {
      return;
    }
    --requests_left;
    static const char* const paths[] = {"safe", "unsafe", "unsafe", "stream", "resume"};
    std::string path = paths[random() % std::size(paths)];
    auto attempt_id = "a" + std::to_string(attempts.size());
    bool sent_twice = callers_fail && one_in(20);
    auto request = send(path, attempt_id);
    if (sent_twice) {
      send(path, attempt_id);
    }
    if (callers_fail && one_in(15)) {
      loop.run_after(random_delay(15), [this, request] { cancel(request); });
    }
  }
  uint64_t send(const std::string& path, const std::string& attempt_id) {
    UpstreamClient::Request request{frontend->local_address(),
                                    "POST",
                                    "/" + path + "/1",
                                    {{"Host", "h.example"}, {"Mosskeel-Attempt-Id", attempt_id}},
                                    "body of " + attempt_id};
    ++open_attempts;
    auto id = callers.send_request(std::move(request));
    attempts[id] = {attempt_id, path};
    return id;
  }
  void cancel(uint64_t request) {
    if (!attempts.at(request).over) {
      callers.cancel(request);
      end_attempt(request, false);
    }
  }
  void end_attempt(uint64_t request, bool complete) {
    auto& attempt = attempts.at(request);
    if (std::exchange(attempt.over, true)) {
      return;
    }
    attempt.complete = complete;
    --open_attempts;
    loop.run_after(random_delay(3), [this] { begin_next_request(); });
  }
  bool done() const { return open_attempts == 0 && requests_left <= 0; }

  /// Each body is the one that a replica made for this attempt, and each run is counted by its attempt.
  void check_attempts() {
    for (const auto& [_, attempt] : attempts) {
      INFO(attempt.id << " on " << attempt.path << " got " << attempt.status
                      << (attempt.complete ? ", complete" : ", not complete"));
      if (!attempt.idempotent()) {
        CHECK(log.runs[attempt.id] <= 1);
      }
      if (!attempt.complete) {
        continue;
      }
      if (attempt.was_rejected() && !attempt.idempotent()) {
        CHECK(log.runs[attempt.id] == 0);
      }
      if (attempt.status == 200) {
        CHECK(attempt.id_in_response == attempt.id);
        CHECK((!attempt.seal.empty() && log.bodies[attempt.id].count(attempt.seal)));
        CHECK(attempt.body == log.bodies[attempt.id][attempt.seal]);
      }
    }
  }
  size_t successes() const {
    return static_cast<size_t>(std::count_if(attempts.begin(), attempts.end(), [](const auto& entry) {
      return entry.second.complete && entry.second.status == 200;
    }));
  }
};

}  // namespace

namespace {

constexpr int seed_count = 12;
constexpr int requests_per_seed = 250;
constexpr unsigned replica_fault_percent = 40;

/// Plays one seed until its callers are done, and checks what each of them got. The process stands still for
/// `standstill` once, after some requests.
void play_to_the_end(FaultsFixture& fixture, Duration standstill) {
  bool has_stood_still = false;
  auto deadline = monotonic_now() + test_timeout;
  while (!fixture.done() && monotonic_now() < deadline) {
    run_iterations(fixture.loop, 20);
    if (fixture.attempts.size() > requests_per_seed / 5 && !std::exchange(has_stood_still, true)) {
      std::this_thread::sleep_for(standstill);
    }
  }
  REQUIRE(fixture.done());
  run_iterations(fixture.loop, 30);
  fixture.check_attempts();
  CHECK(fixture.frontend->router().active_requests() == 0);
}

/// How many attempts succeed depends on how the kernel interleaves sockets and timers, for a replica that lost a
/// response is avoided for some time: one seed gave 91 to 178 successes of 265, all together 0.50 to 0.55. So the sum
/// is held to a narrow bound, and each seed to a wide one.
void check_successes_over_all_seeds(Duration standstill) {
  size_t successes = 0;
  size_t attempts = 0;
  for (int seed = 1; seed <= seed_count; ++seed) {
    INFO("seed " << seed);
    FaultsFixture fixture(static_cast<uint64_t>(seed), requests_per_seed, replica_fault_percent, true);
    play_to_the_end(fixture, standstill);
    CHECK(fixture.successes() > fixture.attempts.size() / 5);
    successes += fixture.successes();
    attempts += fixture.attempts.size();
  }
  CHECK(successes > attempts * 2 / 5);
}

}  // namespace

TEST_CASE("HttpFrontend gives each caller its own response and runs nothing twice, whatever replicas and callers do") {
  check_successes_over_all_seeds(Duration::zero());
}

TEST_CASE("HttpFrontend serves again after its process stood still for longer than all time-outs") {
  check_successes_over_all_seeds(2 * path_timeout);
}

TEST_CASE("HttpFrontend that drains under load loses no response that it has begun") {
  auto seed = GENERATE(range(1, 51));
  INFO("seed " << seed);
  FaultsFixture fixture(static_cast<uint64_t>(seed), 150, 0, false);
  bool closing = false;
  bool draining = false;
  auto begin = monotonic_now();

  REQUIRE(run_until(fixture.loop, [&] {
    auto elapsed = monotonic_now() - begin;
    if (elapsed > 30ms && !std::exchange(closing, true)) {
      fixture.frontend->begin_shutdown({.refuse_from = TimePoint::max(), .ends_at = TimePoint::max()});
    }
    if (elapsed > 60ms && !std::exchange(draining, true)) {
      fixture.frontend->drain();
    }
    return draining && fixture.done() && !fixture.frontend->has_active_callers();
  }));

  fixture.check_attempts();
  for (const auto& [_, attempt] : fixture.attempts) {
    INFO(attempt.id << " on " << attempt.path);
    CHECK((attempt.complete || fixture.log.runs[attempt.id] == 0));
  }
  CHECK(fixture.successes() > 0);
}
