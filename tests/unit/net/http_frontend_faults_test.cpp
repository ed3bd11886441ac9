// Tests an HTTP frontend on real sockets with seeded faults of replicas and callers: each caller must get its own
// response, and no request may run twice.
#include <sys/epoll.h>

#include "faulty_replica.hpp"
#include "frontend_fixture.hpp"

using namespace mosskeel;

namespace {

constexpr int kConcurrentCallers = 12;
constexpr Duration kPathTimeout = 250ms;
constexpr Duration kFrontendTickInterval = 5ms;
constexpr Duration kTestTimeout = 30000ms;

/// One attempt of a caller and its result.
struct Attempt {
  std::string id, path;
  uint32_t status = 0;
  std::string seal, id_in_response, body;
  bool ended = false, complete = false;

  bool idempotent() const { return path == "safe" || path == "resume"; }
  /// Whether the status says that the request has not run and may be retried.
  bool was_rejected() const { return status == 408 || status == 421 || status == 429 || status == 503; }
};

struct FaultsFixture {
  EventLoop loop;
  ReplicaRunLog log;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FaultyReplica>> replicas;
  std::unique_ptr<HttpFrontend> frontend;
  /// By the request id of `callers`.
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

  FaultsFixture(uint64_t seed, int requests, unsigned replica_fault_percent, bool inject_caller_faults)
      : random(seed), requests_left(requests), callers_fail(inject_caller_faults) {
    auto metadata = test::routing_metadata();
    for (auto& [name, replica] : metadata.replicas) {
      replicas.push_back(std::make_unique<FaultyReplica>(loop, log, random(), replica_fault_percent));
      replica.url = "http://" + replicas.back()->address();
    }
    for (auto& path : metadata.configuration.paths) {
      path.timeout_ms = kPathTimeout.count();
    }
    frontend = test::open_frontend(loop, metadata);
    tick();
    for (int i = 0; i < kConcurrentCallers; ++i) {
      begin_next_request();
    }
  }
  void tick() {
    loop.run_after(kFrontendTickInterval, [this] { tick(); });
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
    if (!attempts.at(request).ended) {
      callers.cancel(request);
      end_attempt(request, false);
    }
  }
  void end_attempt(uint64_t request, bool complete) {
    auto& attempt = attempts.at(request);
    if (std::exchange(attempt.ended, true)) {
      return;
    }
    attempt.complete = complete;
    --open_attempts;
    loop.run_after(random_delay(3), [this] { begin_next_request(); });
  }
  bool done() const { return open_attempts == 0 && requests_left <= 0; }

  /// Checks that each body is one that a replica generated for that attempt, and that no attempt ran too often.
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

constexpr int kSeedCount = 12;
constexpr int kRequestsPerSeed = 250;
constexpr unsigned kReplicaFaultPercent = 40;

/// Runs one seed until all callers are done and checks the result of each attempt. Pauses the process once for
/// `process_pause` after some requests.
void run_until_done(FaultsFixture& fixture, Duration process_pause) {
  bool has_paused = false;
  auto deadline = monotonic_now() + kTestTimeout;
  while (!fixture.done() && monotonic_now() < deadline) {
    run_iterations(fixture.loop, 20);
    if (fixture.attempts.size() > kRequestsPerSeed / 5 && !std::exchange(has_paused, true)) {
      std::this_thread::sleep_for(process_pause);
    }
  }
  REQUIRE(fixture.done());
  run_iterations(fixture.loop, 30);
  fixture.check_attempts();
  CHECK(fixture.frontend->router().active_requests() == 0);
}

/// The number of successes depends on how the kernel interleaves sockets and timers, because a replica that lost a
/// response is avoided for some time: one seed had 91 to 178 successes of 265, all seeds together 0.50 to 0.55.
/// Therefore the sum is checked against a narrow bound and each seed against a wide one.
void check_successes_over_all_seeds(Duration process_pause) {
  size_t successes = 0;
  size_t attempts = 0;
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    FaultsFixture fixture(static_cast<uint64_t>(seed), kRequestsPerSeed, kReplicaFaultPercent, true);
    run_until_done(fixture, process_pause);
    CHECK(fixture.successes() > fixture.attempts.size() / 5);
    successes += fixture.successes();
    attempts += fixture.attempts.size();
  }
  CHECK(successes > attempts * 2 / 5);
}

}  // namespace

TEST_CASE(
    "HttpFrontend gives each caller its own response and runs nothing twice, whatever faults replicas and callers "
    "have") {
  check_successes_over_all_seeds(Duration::zero());
}

TEST_CASE("HttpFrontend serves again after its process was paused for longer than all timeouts") {
  check_successes_over_all_seeds(2 * kPathTimeout);
}

TEST_CASE("HttpFrontend that drains under load loses no response that has begun") {
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
