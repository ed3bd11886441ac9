// Tests which requests a gateway admits on arrival, and which values it fills in.
#include "programs/admission_policy.hpp"
#include "programs/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// A request that arrives at a gateway in service. The cluster has one cell, "news", with one model route, "chat".
struct Arrival {
  Arrival() {
    metadata.configuration.cells.push_back({"news", 400, 10, 60000, {{"chat", "model", {}}}});
    self.state = DaemonState::up;
    self.self.zone = "a";
    request.attempt = "attempt";
    request.kind = "model";
    request.cell = "news";
    request.route = "chat";
    request.program = "p";
  }

  AdmissionContext context() const {
    AdmissionContext context{.metadata = metadata};
    context.self = &self;
    context.has_majority_contact = true;
    context.is_confirmed = true;
    context.is_served_here = true;
    return context;
  }

  std::optional<RequestRejection> evaluate(const AdmissionContext& context) {
    return evaluate_admission(request, context);
  }

  Metadata metadata{};
  Daemon self{};
  ProgramRequest request{};
};

}  // namespace

TEST_CASE("Admission fills in the key, the token limit and the timeout if the caller omitted them") {
  Arrival arrival;

  CHECK_FALSE(arrival.evaluate(arrival.context()));

  CHECK(arrival.request.key == "attempt");
  CHECK(arrival.request.max_tokens == 10);
  CHECK(arrival.request.deadline_ms == kDefaultRequestTimeout.count());
}

TEST_CASE("Admission on a gateway that shuts down rejects callers, but accepts requests that other gateways forward") {
  Arrival arrival;
  auto context = arrival.context();
  context.is_shutting_down = true;

  auto from_caller = arrival.evaluate(context);
  context.is_forwarded = true;
  auto from_gateway = arrival.evaluate(context);

  REQUIRE(from_caller);
  CHECK(from_caller->status == 503);
  CHECK_FALSE(from_gateway);
}

TEST_CASE("Admission rejects everything without majority contact") {
  Arrival arrival;
  auto context = arrival.context();
  context.has_majority_contact = false;

  auto turn = arrival.evaluate(context);
  arrival.request.kind = "history";
  auto history = arrival.evaluate(context);

  REQUIRE(turn);
  CHECK(turn->status == 503);

  REQUIRE(history);
  CHECK(history->status == 503);
}

TEST_CASE("Admission rejects an unknown cell or route with 404") {
  Arrival arrival;
  arrival.request.route = "other";
  auto unknown_route = arrival.evaluate(arrival.context());
  arrival.request.cell = "other";
  auto unknown_cell = arrival.evaluate(arrival.context());

  REQUIRE(unknown_route);
  CHECK(unknown_route->status == 404);

  REQUIRE(unknown_cell);
  CHECK(unknown_cell->status == 404);
}

TEST_CASE("Admission sheds bulk requests first and urgent ones last as the queue grows") {
  struct Row {
    size_t queued;
    bool admits_bulk;
    bool admits_normal;
    bool admits_urgent;
  };
  const Row rows[] = {{kMaxQueuedRequests / 4 - 1, true, true, true},
                      {kMaxQueuedRequests / 4, false, true, true},
                      {kMaxQueuedRequests, false, false, true},
                      {kMaxQueuedRequests + kUrgentQueueReserve, false, false, false}};
  for (const auto& row : rows) {
    INFO(row.queued);
    Arrival bulk;
    Arrival normal;
    Arrival urgent;
    bulk.request.bulk = true;
    urgent.request.urgent = true;
    auto is_admitted = [&](Arrival& arrival) {
      auto context = arrival.context();
      context.queued = row.queued;
      return !arrival.evaluate(context);
    };

    CHECK(is_admitted(bulk) == row.admits_bulk);
    CHECK(is_admitted(normal) == row.admits_normal);
    CHECK(is_admitted(urgent) == row.admits_urgent);
  }
}

TEST_CASE("Admission rejects a request that would wait too long here, but not one that waits at another gateway") {
  Arrival arrival;
  auto context = arrival.context();
  context.expected_wait = kMaxQueueWait / 2 + 1ms;

  auto waiting_here = arrival.evaluate(context);
  context.is_served_here = false;
  auto waiting_elsewhere = arrival.evaluate(context);

  REQUIRE(waiting_here);
  CHECK(waiting_here->status == 503);
  CHECK(waiting_here->retry_after == kMaxQueueWait / 2 + 1ms);
  CHECK_FALSE(waiting_elsewhere);
}
