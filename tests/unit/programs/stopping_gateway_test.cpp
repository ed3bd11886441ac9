// What a gateway that stops tells the callers of the product's own interface.
#include "programs/constants.hpp"
#include "runtime/settings.hpp"
#include "simulation/callers.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using namespace mosskeel::sim;

namespace {

constexpr Duration kGrace = kDefaultShutdownGrace;
/// A request reaches its replica, or the stores, within this time.
constexpr Duration kTimeToBegin = 1000ms;

/// A fleet, the owner of one program, and a caller that waits for a turn of this program at the owner.
class WaitingCaller {
 public:
  WaitingCaller() { REQUIRE(callers.initialize_fleet()); }

  void let_models_fall_silent() {
    for (auto& [name, replica] : callers.replicas) {
      replica.fault = ReplicaFault::stall;
      replica.fault_every = 1;
    }
  }

  void send_turn() {
    auto metadata = latest(world);
    auto owner_id = metadata->partitions[partition_of("news", "p").value()].owner;
    owner_ = metadata->find(owner_id)->self.address;
    ProgramRequest request{};
    request.kind = "model";
    request.attempt = "attempt";
    request.cell = "news";
    request.route = "chat";
    request.program = "p";
    request.thread = "main";
    request.body = "question";
    callers.send(owner_, std::move(request), [this](const Message& message) {
      if (const auto* received = std::get_if<ProgramResponse>(&message))
        response = *received;
    });
    world.run(kTimeToBegin);
  }

  /// Stops the owner and lets time pass until its process ends or is killed. Returns whether it ended by itself.
  bool stop_owner() {
    auto& node = world.node(owner_);
    static_cast<GatewayMachine&>(*node.machine).begin_shutdown(ShutdownLimits::begin(world.clock(node), kGrace));
    return world.until(kGrace, [&] { return !node.machine; });
  }

  World world{5, {3, 3, 3, 4, 3}};
  Callers callers{world, 4, 3, 400, 10};
  std::optional<ProgramResponse> response;

 private:
  std::string owner_;
};

}  // namespace

// Guards against review case 4 on the product's own interface: a turn that ran on past the grace was cut by the kill.
TEST_CASE("A gateway that stops answers a turn that a replica still works on before the process may be killed") {
  WaitingCaller caller;
  caller.let_models_fall_silent();
  caller.send_turn();
  REQUIRE_FALSE(caller.response);

  caller.stop_owner();

  REQUIRE(caller.response);
  CHECK(caller.response->status == 504);
  CHECK(caller.response->executed == Outcome::unknown);
}

TEST_CASE("A gateway that stops tells a turn that never reached a replica that it was not run") {
  WaitingCaller caller;
  caller.world.freeze("store1");
  caller.world.freeze("store2");
  caller.send_turn();
  REQUIRE_FALSE(caller.response);

  caller.stop_owner();

  REQUIRE(caller.response);
  CHECK(caller.response->status == 503);
  CHECK(caller.response->executed == Outcome::no);
  CHECK(caller.response->retry_ms > 0);
}

TEST_CASE("A gateway that stops ends before it may be killed, though the stores do not take an outcome") {
  WaitingCaller caller;
  caller.let_models_fall_silent();
  caller.send_turn();
  caller.world.freeze("store1");
  caller.world.freeze("store2");

  CHECK(caller.stop_owner());
}
