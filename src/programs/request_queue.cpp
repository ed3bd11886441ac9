#include "programs/request_queue.hpp"

#include <algorithm>

#include "programs/constants.hpp"

namespace mosskeel {

void RequestQueue::push(OpenRequest& open) {
  open.stage = RequestStage::queued;
  if (open.waiting_since == TimePoint{})
    open.waiting_since = open.arrived_at;
  entries_.push({open.request.urgent, open.arrival_number, open.request.attempt});
}

RequestQueue::Entry RequestQueue::pop() {
  auto entry = entries_.top();
  entries_.pop();
  return entry;
}

Duration RequestQueue::expected_wait(const std::string& kind, bool is_urgent) const {
  auto service_interval = service_intervals_.find(kind);
  if (service_interval == service_intervals_.end())
    return {};
  auto requests_ahead = requests_.count_if([&](const OpenRequest& open) {
    bool waits = open.stage == RequestStage::queued || open.stage == RequestStage::opening_history;
    bool is_ahead = !is_urgent || open.request.urgent;
    return open.request.kind == kind && waits && is_ahead;
  });
  return Duration(static_cast<int64_t>(static_cast<double>(requests_ahead) * service_interval->second.average_ms));
}

void RequestQueue::record_departure(const std::string& kind, TimePoint now) {
  auto& service_interval = service_intervals_[kind];
  bool others_wait = service_interval.last_departure != TimePoint{} && requests_.count(RequestStage::queued) > 1;
  if (others_wait) {
    auto interval = static_cast<double>(std::min(now - service_interval.last_departure, kMaxQueueWait).count());
    service_interval.average_ms += (interval - service_interval.average_ms) * kServiceIntervalSmoothing;
  }
  service_interval.last_departure = now;
}

}  // namespace mosskeel
