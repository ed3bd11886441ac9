// The HTTP interface of programs while its gateway stops: each caller gets a final response at once.
#include "gateway/program_api.hpp"

#include <future>

#include "unit/catch.hpp"
#include "unit/runtime/silent_machine.hpp"

using namespace mosskeel;

namespace {

/// Longer than any response may take, far shorter than a request's own deadline.
constexpr Duration kTooLong = 5000ms;

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

TEST_CASE("ProgramApi tells a caller whose gateway ends under the request that its outcome is unknown") {
  ProgramApiFixture fixture;
  auto response = fixture.post_turn();
  while (fixture.steps == 0)
    std::this_thread::sleep_for(1ms);

  fixture.stop();

  REQUIRE(response.wait_for(kTooLong) == std::future_status::ready);
  auto answer = response.get();
  CHECK(answer.status == 504);
  CHECK(answer.body.find("\"ran\":\"unknown\"") != std::string::npos);
  CHECK(answer.headers.count("Retry-After") == 1);
}

TEST_CASE("ProgramApi tells a caller that comes after its gateway's end that the request has not run") {
  ProgramApiFixture fixture;
  fixture.stop();

  auto response = fixture.post_turn();

  REQUIRE(response.wait_for(kTooLong) == std::future_status::ready);
  auto answer = response.get();
  CHECK(answer.status == 503);
  CHECK(answer.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(answer.headers.count("Retry-After") == 1);
  CHECK(fixture.steps == 0);
}
