// Tests which replica the load balancer of a gateway chooses for an attempt.
#include "routing/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

struct BalancerFixture {
  Metadata metadata = routing_metadata();
  LoadBalancer balancer;
  TimePoint now{1000ms};

  /// Installs `metadata` in the balancer, as seen by the given gateway.
  void update(uint64_t gateway = 1) {
    balancer.update({.view = std::make_shared<Metadata>(metadata),
                     .self_id = DaemonId{gateway},
                     .dispatch_until = TimePoint{1000000ms},
                     .ready = true},
                    now);
  }

  /// Starts an attempt. Returns the replica's name, "later" if no replica has free capacity, or "none" if there is no
  /// replica.
  std::string start_attempt(uint64_t affinity_hash = 0) {
    auto choice = balancer.choose({"app", affinity_hash, nullptr}, now);
    if (!choice.replica)
      return choice.has_candidates ? "later" : "none";
    balancer.on_attempt_started(choice.replica->name);
    return choice.replica->name;
  }
};

/// Requests per second that a replica which is warming up permits.
constexpr size_t kPermittedRate = 19;

/// The times of a gateway's attempts in five seconds during which the only replica of the service is warming up.
std::vector<TimePoint> attempt_times_on_warming_replica(uint64_t gateway) {
  BalancerFixture fixture;
  fixture.metadata.replicas = {{"app1", make_replica("app1", "app", "z1", 1000)}};
  fixture.metadata.replicas["app1"].health = ReplicaHealth::warming_up;
  fixture.metadata.configuration.services[0].cold_per_s = kPermittedRate;
  fixture.update(gateway);
  std::vector<TimePoint> sent_at;
  for (; fixture.now < TimePoint{6000ms}; fixture.now += 1ms)
    while (fixture.start_attempt() == "app1")
      sent_at.push_back(fixture.now);
  return sent_at;
}

/// The largest number of these times that precede another one by less than a second.
size_t max_per_second(const std::vector<TimePoint>& times) {
  size_t most = 0;
  for (auto first = times.begin(), last = first; last != times.end(); ++last) {
    while (*last - *first >= 1000ms)
      ++first;
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace

TEST_CASE("LoadBalancer prefers replicas in its own zone, and uses others when those are loaded") {
  BalancerFixture fixture;
  for (auto* name : {"app2", "app3"})
    fixture.metadata.replicas[name].zone = "z2";
  fixture.update();

  CHECK(fixture.start_attempt() == "app1");

  std::set<std::string> used;
  for (int attempt = 0; attempt < 20; ++attempt)
    used.insert(fixture.start_attempt());

  CHECK(used.size() == 3);
}

TEST_CASE("LoadBalancer gives no replica more than this gateway's share of its capacity") {
  BalancerFixture fixture;
  fixture.update();

  constexpr int kAttempts = 100;
  std::map<std::string, int> attempts;
  for (int attempt = 0; attempt < kAttempts; ++attempt)
    ++attempts[fixture.start_attempt(7)];

  auto share = static_cast<int>(std::ceil(kReplicaCapacity * kCapacityShareFactor / kGateways));
  CHECK(attempts["app1"] == share);
  CHECK(attempts["later"] == kAttempts - 3 * share);

  fixture.balancer.on_attempt_finished("app2");
  CHECK(fixture.start_attempt() == "app2");
}

TEST_CASE("LoadBalancer keeps sending an affinity key to its replica when others are added") {
  BalancerFixture fixture;
  fixture.update();
  auto first = fixture.start_attempt(99);

  CHECK(fixture.start_attempt(99) == first);

  fixture.metadata.replicas["spare3"] = make_replica("spare3", "spare", "z1", 8);
  fixture.update();

  CHECK(fixture.start_attempt(99) == first);
}

TEST_CASE("LoadBalancer skips replicas until their backoff is over") {
  BalancerFixture fixture;
  fixture.update();
  for (auto* name : {"app1", "app2", "app3"})
    fixture.balancer.back_off(name, fixture.now + 50ms);

  CHECK(fixture.start_attempt() == "later");

  fixture.now += 50ms;

  CHECK(fixture.start_attempt().starts_with("app"));
}

// Guards against a replica that sends without end and goes on to be asked.
TEST_CASE(
    "LoadBalancer ejects a replica for longer each time that it breaks the protocol, and for less after responses") {
  BalancerFixture fixture;
  fixture.update();
  std::vector<Duration> times;
  for (int ejection = 0; ejection < 7; ++ejection) {
    times.push_back(fixture.balancer.eject("app1", fixture.now));
    CHECK(fixture.balancer.eject("app1", fixture.now) == 0ms);
    fixture.now += times.back() - 1ms;
    CHECK(fixture.start_attempt() != "app1");
    fixture.now += 1ms;
  }

  CHECK(times == std::vector<Duration>{500ms, 1000ms, 2000ms, 4000ms, 8000ms, 16000ms, 16000ms});

  for (int response = 0; response < 6; ++response)
    fixture.balancer.on_response_completed("app1");
  CHECK(fixture.balancer.eject("app1", fixture.now) == 1000ms);
}

TEST_CASE("LoadBalancer ejects no replica for long where most of a service's replicas break the protocol") {
  BalancerFixture fixture;
  fixture.update();
  for (int round = 0; round < 5; ++round) {
    for (auto* name : {"app1", "app2", "app3"})
      fixture.balancer.eject(name, fixture.now);
    fixture.now += 500ms;
  }
  CHECK(fixture.start_attempt() != "later");

  // The first one is ejected for long; with the second one, most are.
  fixture.now += kMaxEjectionTime;
  CHECK(fixture.balancer.eject("app1", fixture.now) > kEjectionTime);
  CHECK(fixture.balancer.eject("app2", fixture.now) == kEjectionTime);
  CHECK(fixture.balancer.eject("app3", fixture.now) == kEjectionTime);
  fixture.now += kEjectionTime;

  CHECK(fixture.start_attempt() != "later");
}

TEST_CASE("LoadBalancer skips replicas that drain or are in an evacuated zone") {
  BalancerFixture fixture;
  fixture.metadata.replicas["app1"].health = ReplicaHealth::draining;
  fixture.metadata.replicas["app2"].zone = "z9";
  fixture.metadata.evacuated = {"z9"};
  fixture.update();

  for (int attempt = 0; attempt < 4; ++attempt)
    CHECK(fixture.start_attempt() == "app3");

  fixture.metadata.replicas.erase("app3");
  fixture.update();

  CHECK(fixture.start_attempt() == "none");
}

TEST_CASE("LoadBalancer lets only one gateway send to a replica that warms up, and stays within the permitted rate") {
  size_t gateways_that_sent = 0;
  for (uint64_t gateway : {1, 2}) {
    auto sent_at = attempt_times_on_warming_replica(gateway);

    CHECK(max_per_second(sent_at) < kPermittedRate);

    // More than half of the requests that are permitted in five seconds.
    CHECK((sent_at.empty() || sent_at.size() > 5 * kPermittedRate / 2));

    gateways_that_sent += sent_at.empty() ? 0 : 1;
  }

  CHECK(gateways_that_sent == 1);
}
