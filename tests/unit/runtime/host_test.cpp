// The host's threads at their end: nothing that was taken is left without its result.
#include "runtime/host.hpp"

#include "silent_machine.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";

struct HostFixture {
  /// Messages that the state machine has handled.
  std::atomic<int> steps{0};
  Host host{nullptr, kAnyPort};

  HostFixture() {
    auto errors =
        host.start([this](const Recovered&, TimePoint) { return std::make_unique<test::SilentMachine>(steps); });
    REQUIRE(errors.empty());
  }
};

}  // namespace

TEST_CASE("A host that stops handles all that was posted before") {
  constexpr int posted = 1000;
  HostFixture fixture;

  for (int message = 0; message < posted; ++message)
    REQUIRE(fixture.host.post({}));
  fixture.host.stop();

  CHECK(fixture.steps == posted);
}

TEST_CASE("A host that has stopped takes no message") {
  HostFixture fixture;

  fixture.host.stop();

  CHECK_FALSE(fixture.host.post({}));
  CHECK(fixture.steps == 0);
}

TEST_CASE("A question to a host that has stopped ends without being asked") {
  HostFixture fixture;
  bool was_asked = false;

  fixture.host.stop();
  fixture.host.ask([&](StateMachine&, TimePoint) { was_asked = true; });

  CHECK_FALSE(was_asked);
}

TEST_CASE("A question to a host that stops meanwhile is over when it returns") {
  for (int round = 0; round < 50; ++round) {
    HostFixture fixture;
    std::atomic<bool> has_returned{false};
    std::atomic<bool> asked_too_late{false};
    std::thread stopper([&] { fixture.host.stop(); });

    fixture.host.ask([&](StateMachine&, TimePoint) {
      std::this_thread::sleep_for(1ms);
      asked_too_late = has_returned.load();
    });

    has_returned = true;
    stopper.join();
    CHECK_FALSE(asked_too_late);
  }
}
