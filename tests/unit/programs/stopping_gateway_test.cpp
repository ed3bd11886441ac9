// Tests how a gateway that shuts down responds to open requests of the native API.
#include "programs/constants.hpp"
#include "runtime/settings.hpp"
#include "simulation/callers.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using namespace mosskeel::sim;

namespace {

constexpr Duration kGrace = kDefaultShutdownGrace;
/// Time within which a request reaches its replica or the stores.
constexpr Duration kStartTime = 1000ms;

/// A cluster, and a caller that waits for a program's turn at the gateway that owns the program.
class WaitingCaller {
 public:
  WaitingCaller() { REQUIRE(callers.initialize_fleet()); }

  void stall_models() {
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
    world.run(kStartTime);
  }

  /// Shuts down the owner and runs until its process ends or would be killed. Returns whether it ended by itself.
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

// Guards against review case 4 on the native API: a turn that was still running at the end of the shutdown grace period
// was interrupted when the process was killed.
TEST_CASE("A gateway that shuts down responds to a turn that is still running before the process may be killed") {
  WaitingCaller caller;
  caller.stall_models();
  caller.send_turn();
  REQUIRE_FALSE(caller.response);

  caller.stop_owner();

  REQUIRE(caller.response);
  CHECK(caller.response->status == 504);
  CHECK(caller.response->executed == Outcome::unknown);
}

TEST_CASE("A gateway that shuts down reports a turn that never reached a replica as not run") {
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

TEST_CASE("A gateway that shuts down ends before it may be killed, even if the stores do not accept an outcome") {
  WaitingCaller caller;
  caller.stall_models();
  caller.send_turn();
  caller.world.freeze("store1");
  caller.world.freeze("store2");

  CHECK(caller.stop_owner());
}
