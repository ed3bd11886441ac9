// Tests that ProgramApi gives each caller a final response at once when its gateway stops.
#include "gateway/program_api.hpp"

#include <future>

#include "unit/catch.hpp"
#include "unit/runtime/silent_machine.hpp"

using namespace mosskeel;

namespace {

/// Longer than any response may take, but far shorter than a request's own deadline.
constexpr Duration kResponseTimeout = 5000ms;

struct ProgramApiFixture {
  std::atomic<int> steps{0};
  Host host{nullptr, "127.0.0.1:0"};
  LocalMailboxes mailboxes;
  ProgramApi api{host, mailboxes};

  ProgramApiFixture() {
    auto errors =
        host.start([this](const Recovered&, TimePoint) { return std::make_unique<test::SilentMachine>(steps); });
    REQUIRE(errors.empty());
  }

  std::future<ApiResponse> post_turn() {
    ApiRequest request;
    request.method = "POST";
    request.path = "/v1/cells/lab/programs/p/turns";
    request.body = R"({"input":"x"})";
    return std::async(std::launch::async, [this, request] { return api.answer(request); });
  }
  void stop() {
    host.stop();
    mailboxes.shut_down();
  }
};

}  // namespace

TEST_CASE("ProgramApi reports an unknown outcome if the gateway stops while the request is running") {
  ProgramApiFixture fixture;
  auto response = fixture.post_turn();
  while (fixture.steps == 0)
    std::this_thread::sleep_for(1ms);

  fixture.stop();

  REQUIRE(response.wait_for(kResponseTimeout) == std::future_status::ready);
  auto http_response = response.get();
  CHECK(http_response.status == 504);
  CHECK(http_response.body.find("\"ran\":\"unknown\"") != std::string::npos);
  CHECK(http_response.headers.count("Retry-After") == 1);
}

TEST_CASE("ProgramApi reports that a request has not run if it arrives after the gateway has stopped") {
  ProgramApiFixture fixture;
  fixture.stop();

  auto response = fixture.post_turn();

  REQUIRE(response.wait_for(kResponseTimeout) == std::future_status::ready);
  auto http_response = response.get();
  CHECK(http_response.status == 503);
  CHECK(http_response.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(http_response.headers.count("Retry-After") == 1);
  CHECK(fixture.steps == 0);
}
