// Shutdown of the host's threads: every accepted message is handled and every call completes.
#include "runtime/host.hpp"

#include "silent_machine.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";

struct HostFixture {
  /// Number of messages that the state machine has handled.
  std::atomic<int> steps{0};
  Host host{nullptr, kAnyPort};

  HostFixture() {
    auto errors =
        host.start([this](const Recovered&, TimePoint) { return std::make_unique<test::SilentMachine>(steps); });
    REQUIRE(errors.empty());
  }
};

}  // namespace

TEST_CASE("A host that stops handles every message posted before") {
  constexpr int posted = 1000;
  HostFixture fixture;

  for (int message = 0; message < posted; ++message)
    REQUIRE(fixture.host.post({}));
  fixture.host.stop();

  CHECK(fixture.steps == posted);
}

TEST_CASE("A host that has stopped accepts no messages") {
  HostFixture fixture;

  fixture.host.stop();

  CHECK_FALSE(fixture.host.post({}));
  CHECK(fixture.steps == 0);
}

TEST_CASE("ask on a host that has stopped returns without running the function") {
  HostFixture fixture;
  bool was_called = false;

  fixture.host.stop();
  fixture.host.ask([&](StateMachine&, TimePoint) { was_called = true; });

  CHECK_FALSE(was_called);
}

TEST_CASE("ask on a host that is stopping never returns before its function has ended") {
  for (int round = 0; round < 50; ++round) {
    HostFixture fixture;
    std::atomic<bool> has_returned{false};
    std::atomic<bool> ran_after_return{false};
    std::thread stopper([&] { fixture.host.stop(); });

    fixture.host.ask([&](StateMachine&, TimePoint) {
      std::this_thread::sleep_for(1ms);
      ran_after_return = has_returned.load();
    });

    has_returned = true;
    stopper.join();
    CHECK_FALSE(ran_after_return);
  }
}
