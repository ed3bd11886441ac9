#pragma once
// Queue of requests that wait for a replica, and measurement of its service interval.
#include <boost/heap/priority_queue.hpp>

#include "programs/open_requests.hpp"

namespace mosskeel {

/// Orders requests by urgency, then by arrival. Contains attempt ids only: a request that was closed or has left the
/// queued stage leaves a stale entry behind, which the reader must skip. Also measures the interval at which requests
/// of a kind leave the queue, to estimate on arrival how long a request would wait.
class RequestQueue {
 public:
  explicit RequestQueue(const OpenRequests& requests) : requests_(requests) {}

  struct Entry {
    bool is_urgent = false;
    uint64_t arrival_number = 0;
    std::string attempt;
    /// Whether the other entry is dispatched before this one.
    bool operator<(const Entry& other) const {
      return std::tie(is_urgent, other.arrival_number) < std::tie(other.is_urgent, arrival_number);
    }
  };

  /// Queues the request. Its wait counts from its arrival, unless it is queued again for a retry.
  void push(OpenRequest& open);
  /// Puts back an entry that could not be dispatched yet.
  void push(const Entry& entry) { entries_.push(entry); }
  bool empty() const { return entries_.empty(); }
  Entry pop();

  /// The expected wait of a request that arrives now: the number of requests ahead of it times the service interval.
  Duration expected_wait(const std::string& kind, bool is_urgent) const;
  /// Records that a request of this kind leaves the queue for a replica.
  void record_departure(const std::string& kind, TimePoint now);

 private:
  struct ServiceInterval {
    /// Interval between two departures while other requests wait, exponentially smoothed.
    double average_ms = 0;
    /// `TimePoint{}` before the first departure.
    TimePoint last_departure{};
  };

  const OpenRequests& requests_;
  boost::heap::priority_queue<Entry> entries_;
  std::map<std::string, ServiceInterval> service_intervals_;
};

}  // namespace mosskeel
