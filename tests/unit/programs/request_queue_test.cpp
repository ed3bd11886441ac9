// Tests the order in which requests leave a gateway's queue, and the expected wait.
#include "programs/request_queue.hpp"
#include "programs/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kArrivedAt{1000ms};

OpenRequest& queue_request(OpenRequests& requests, RequestQueue& queue, const std::string& attempt, bool is_urgent) {
  OpenRequest queued;
  queued.request.attempt = attempt;
  queued.request.kind = "model";
  queued.request.urgent = is_urgent;
  queued.arrival_number = requests.size() + 1;
  queued.arrived_at = kArrivedAt;
  auto& added = requests.add(std::move(queued));
  queue.push(added);
  return added;
}

}  // namespace

TEST_CASE("RequestQueue returns urgent requests first, and otherwise in the order of their arrival") {
  OpenRequests requests;
  RequestQueue queue(requests);
  queue_request(requests, queue, "first", false);
  queue_request(requests, queue, "second", false);
  queue_request(requests, queue, "urgent", true);

  CHECK(queue.pop().attempt == "urgent");
  CHECK(queue.pop().attempt == "first");
  CHECK(queue.pop().attempt == "second");
  CHECK(queue.empty());
}

TEST_CASE("RequestQueue counts the wait from the arrival, or from the retry if there is one") {
  OpenRequests requests;
  RequestQueue queue(requests);

  auto& request = queue_request(requests, queue, "attempt", false);
  CHECK(request.waiting_since == kArrivedAt);

  request.waiting_since = TimePoint{1500ms};
  queue.push(request);

  CHECK(request.waiting_since == TimePoint{1500ms});
}

TEST_CASE("RequestQueue estimates the wait from the requests ahead and the rate of earlier departures") {
  OpenRequests requests;
  RequestQueue queue(requests);
  for (int i = 0; i < 4; ++i)
    queue_request(requests, queue, "attempt " + std::to_string(i), i == 0);

  CHECK(queue.expected_wait("model", false) == 0ms);

  queue.record_departure("model", TimePoint{2000ms});
  queue.record_departure("model", TimePoint{3000ms});

  auto interval = 1000 * kServiceIntervalSmoothing;
  CHECK(queue.expected_wait("model", false) == Duration(static_cast<int64_t>(4 * interval)));
  CHECK(queue.expected_wait("model", true) == Duration(static_cast<int64_t>(1 * interval)));
  CHECK(queue.expected_wait("app", false) == 0ms);
}
