// Tests program requests end to end in a simulated cluster: keys, order of turns, retention, unavailable stores.
#include "history/constants.hpp"
#include "simulation/callers.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using namespace mosskeel::sim;

namespace {

constexpr const char* kTestSession = "local:test";
constexpr Duration kResponseTimeout = 20000ms;
constexpr Duration kRetention = 5000ms;
/// A history is deleted within this time after its retention and the margin have expired.
constexpr Duration kMaxExpiryDelay = 40000ms;

/// A cluster that serves the cell "news", and a caller that sends one request at a time.
class ProgramCluster {
 public:
  ProgramCluster() { REQUIRE(callers.initialize_fleet()); }
  ~ProgramCluster() { world.died = nullptr; }

  ProgramResponse send_turn(const std::string& program, const std::string& key, const std::string& input,
                            std::optional<uint32_t> expected_turns = std::nullopt) {
    ProgramRequest request{};
    request.kind = "model";
    request.route = "chat";
    request.program = program;
    request.thread = "main";
    request.key = key;
    request.body = input;
    request.expected_turns = expected_turns;
    return send(std::move(request), "gateway1");
  }

  ProgramResponse read_history(const std::string& program) {
    ProgramRequest request{};
    request.kind = "history";
    request.program = program;
    return send(std::move(request), "gateway2");
  }

  void set_retention(Duration retention) {
    auto configuration = world.node("controller1").machine->view()->configuration;
    configuration.cells[0].retention_ms = retention.count();
    bool is_committed = false;
    callers.commit(ApplyConfiguration{Revision{1}, configuration},
                   [&](const CommitReply& reply) { is_committed = reply.outcome == CommitOutcome::committed; });
    REQUIRE(world.until(5000ms, [&] { return is_committed; }));
  }

  void restart_gateways() {
    for (const auto& gateway : world.names(Kind::gateway)) {
      world.kill(gateway);
      world.start(gateway);
    }
  }

  World world{5, {3, 3, 3, 4, 3}};
  Callers callers{world, 4, 3, 400, 10};

 private:
  ProgramResponse send(ProgramRequest request, const std::string& gateway) {
    std::optional<ProgramResponse> response;
    auto deliver_to_others = world.local;
    world.local = [&](Node& node, const Envelope& envelope) {
      if (envelope.to != kTestSession)
        return deliver_to_others(node, envelope);
      if (const auto* received = std::get_if<ProgramResponse>(&envelope.body))
        response = *received;
    };
    request.attempt = "t" + std::to_string(world.next_random());
    request.cell = "news";
    Envelope envelope{};
    envelope.from = kTestSession;
    envelope.body = std::move(request);
    world.post(gateway, envelope);
    world.until(kResponseTimeout, [&] { return response.has_value(); });
    world.local = deliver_to_others;
    REQUIRE(response);
    return *response;
  }
};

}  // namespace

TEST_CASE("A key is executed once: a second request gets the recorded response, or 409 if its body differs") {
  ProgramCluster cluster;

  auto first = cluster.send_turn("p", "k", "question");
  auto second = cluster.send_turn("p", "k", "question");
  auto with_other_body = cluster.send_turn("p", "k", "other question");

  CHECK(first.status == 200);
  CHECK(second.status == 200);
  CHECK(second.body == first.body);
  CHECK(with_other_body.status == 409);
  CHECK(with_other_body.executed == Outcome::no);
  CHECK(cluster.world.failures.empty());
}

TEST_CASE("A turn is executed only if its expected number of turns matches the history") {
  ProgramCluster cluster;

  CHECK(cluster.send_turn("p", "k1", "a", 1).status == 404);
  CHECK(cluster.send_turn("p", "k2", "a", 0).status == 200);
  CHECK(cluster.send_turn("p", "k3", "b", 0).status == 409);
  CHECK(cluster.send_turn("p", "k4", "b", 1).turn == 2);
  CHECK(cluster.send_turn("p", "k5", "c", 3).status == 409);
}

TEST_CASE("A history is kept for its retention after the last turn, and then deleted") {
  ProgramCluster cluster;
  auto& world = cluster.world;
  cluster.set_retention(kRetention);
  world.run(1000ms);

  CHECK(cluster.send_turn("p", "k1", "a").status == 200);

  world.run(4000ms);
  CHECK(cluster.read_history("p").status == 200);
  CHECK(cluster.send_turn("p", "k2", "b", 1).status == 200);

  world.run(4500ms);
  CHECK(cluster.read_history("p").status == 200);

  world.run(kRetention + kRetentionMargin + kMaxExpiryDelay);
  CHECK(cluster.read_history("p").status == 410);
  CHECK(cluster.send_turn("p", "k3", "c", 2).status == 410);
  CHECK(cluster.send_turn("p", "k1", "a").executed == Outcome::unknown);
}

TEST_CASE("A history is not reported as missing while too few stores answer") {
  ProgramCluster cluster;
  auto& world = cluster.world;

  CHECK(cluster.send_turn("p", "k1", "a").status == 200);

  world.power_off("store1");
  world.power_off("store2");
  cluster.restart_gateways();
  world.run(6000ms);
  auto unavailable = cluster.read_history("p");

  CHECK(unavailable.status == 503);
  CHECK(unavailable.retry_ms > 0);
  CHECK(cluster.send_turn("p", "k2", "b", 1).status == 503);

  world.start("store1");
  world.run(6000ms);

  CHECK(cluster.read_history("p").status == 200);
}
