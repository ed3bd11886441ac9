// Which replica the load balancer of a gateway chooses for an attempt.
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

  /// Gives `metadata` to the balancer, as that of this gateway.
  void update(uint64_t gateway = 1) {
    balancer.update({.view = std::make_shared<Metadata>(metadata),
                     .self_id = DaemonId{gateway},
                     .dispatch_until = TimePoint{1000000ms},
                     .ready = true},
                    now);
  }

  /// Starts an attempt. Returns the replica's name, "later" where no replica is free now, or "none" where there is
  /// none.
  std::string start_attempt(uint64_t affinity_hash = 0) {
    auto choice = balancer.choose({"app", affinity_hash, nullptr}, now);
    if (!choice.replica)
      return choice.has_candidates ? "later" : "none";
    balancer.on_attempt_started(choice.replica->name);
    return choice.replica->name;
  }
};

/// The rate of requests for a replica that warms up.
constexpr size_t kPermittedPerSecond = 19;

/// When a gateway can start an attempt in five seconds, in which the only replica of the service warms up.
std::vector<TimePoint> attempts_on_warming_replica(uint64_t gateway) {
  BalancerFixture fixture;
  fixture.metadata.replicas = {{"app1", listed("app1", "app", "z1", 1000)}};
  fixture.metadata.replicas["app1"].health = ReplicaHealth::warming_up;
  fixture.metadata.configuration.services[0].cold_per_s = kPermittedPerSecond;
  fixture.update(gateway);
  std::vector<TimePoint> sent_at;
  for (; fixture.now < TimePoint{6000ms}; fixture.now += 1ms)
    while (fixture.start_attempt() == "app1")
      sent_at.push_back(fixture.now);
  return sent_at;
}

/// The most of these times that precede another one by less than a second.
size_t most_within_a_second(const std::vector<TimePoint>& times) {
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

TEST_CASE("LoadBalancer keeps a key on its replica when others are added") {
  BalancerFixture fixture;
  fixture.update();
  auto first = fixture.start_attempt(99);

  CHECK(fixture.start_attempt(99) == first);

  fixture.metadata.replicas["spare3"] = listed("spare3", "spare", "z1", 8);
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

TEST_CASE("LoadBalancer lets one gateway send to a replica that warms up, and stays within the rate for it") {
  size_t gateways_that_sent = 0;
  for (uint64_t gateway : {1, 2}) {
    auto sent_at = attempts_on_warming_replica(gateway);

    CHECK(most_within_a_second(sent_at) < kPermittedPerSecond);

    // At least half as many as permitted over five seconds.
    CHECK((sent_at.empty() || sent_at.size() > 5 * kPermittedPerSecond / 2));

    gateways_that_sent += sent_at.empty() ? 0 : 1;
  }

  CHECK(gateways_that_sent == 1);
}
