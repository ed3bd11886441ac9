// Tests how a gateway responds to its caller after it has forwarded the request to the program's owner.
#include "programs/request_forwarder.hpp"

#include "history/constants.hpp"
#include "programs/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;

namespace {

constexpr uint64_t kOwner = 1;
constexpr uint64_t kForwardingGateway = 2;
constexpr const char* kAttempt = "attempt";

/// Gateway 2 with one request that it forwards to gateway 1.
struct ForwardingGateway {
  GatewayContext context{Identity{test::candidate(kForwardingGateway, Role::gateway, "z2"), {}}};
  OpenRequests requests;
  RecentResponses recent_responses;
  ReplicaSelector replica_selector;
  RequestResponder responder{context, requests, recent_responses, replica_selector};
  RequestForwarder forwarder{context, requests, responder};
  TimePoint now{1000ms};

  ForwardingGateway() { context.metadata_log.install_snapshot(test::small_cluster()); }

  /// @param outcome_unknown whether the request was sent to an earlier owner that never answered.
  OpenRequest& forward(bool outcome_unknown) {
    OpenRequest request;
    request.request.attempt = kAttempt;
    request.reply_to = "local:1";
    request.outcome_unknown = outcome_unknown;
    auto& open = requests.add(std::move(request));
    forwarder.start(open, now);
    return open;
  }
  void receive_from_owner(uint32_t status, Outcome executed) {
    ProgramResponse response{};
    response.attempt = kAttempt;
    response.status = status;
    response.executed = executed;
    forwarder.handle(test::Owner::from(kOwner, response), response, now);
  }
  ProgramResponse response_to_caller() {
    auto sent = test::take_sent<ProgramResponse>(context.outbox);
    REQUIRE(sent.size() == 1);
    return sent[0].second;
  }
};

}  // namespace

TEST_CASE("RequestForwarder forwards the report that a request has not run if no other owner may have run it") {
  ForwardingGateway gateway;
  gateway.forward(false);

  gateway.receive_from_owner(503, Outcome::no);

  CHECK(gateway.response_to_caller().executed == Outcome::no);
}

TEST_CASE("RequestForwarder does not report a request as not run if an earlier owner may have run it") {
  ForwardingGateway gateway;
  gateway.forward(true);

  gateway.receive_from_owner(503, Outcome::no);

  CHECK(gateway.response_to_caller().executed == Outcome::unknown);
}

TEST_CASE("RequestForwarder gives up on an owner that does not acknowledge, and reports an unknown outcome") {
  ForwardingGateway gateway;
  auto& open = gateway.forward(false);
  gateway.now += kForwardAcknowledgementTimeout + kHistoryQuorumTimeout + 1ms;

  gateway.forwarder.advance(open, gateway.now);

  auto response = gateway.response_to_caller();
  CHECK(response.status == 503);
  CHECK(response.executed == Outcome::unknown);
  CHECK(response.retry_ms > 0);
}

TEST_CASE("RequestForwarder ignores a response from another gateway than the one that it forwarded to") {
  constexpr uint64_t kOtherGateway = 3;
  ForwardingGateway gateway;
  gateway.forward(false);
  ProgramResponse response{};
  response.attempt = kAttempt;
  response.status = 200;

  gateway.forwarder.handle(test::Owner::from(kOtherGateway, response), response, gateway.now);

  CHECK(test::take_sent<ProgramResponse>(gateway.context.outbox).empty());
  CHECK(gateway.requests.find(kAttempt) != nullptr);
}
