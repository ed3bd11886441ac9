#pragma once
// Requests that wait for a replica, and how fast they are served.
#include <boost/heap/priority_queue.hpp>

#include "programs/open_requests.hpp"

namespace mosskeel {

/// Urgent requests first, then in the order of their arrival. Holds attempt ids only: a request that was closed or
/// moved on meanwhile leaves a stale entry behind, which the reader skips. Also measures at which pace requests of a
/// kind leave the queue, to tell on arrival how long one would wait.
class RequestQueue {
 public:
  explicit RequestQueue(const OpenRequests& requests) : requests_(requests) {}

  struct Entry {
    bool is_urgent = false;
    uint64_t arrival_number = 0;
    std::string attempt;
    /// Whether the other entry is served before this one.
    bool operator<(const Entry& other) const {
      return std::tie(is_urgent, other.arrival_number) < std::tie(other.is_urgent, arrival_number);
    }
  };

  /// Queues the request; it has waited since its arrival unless it is queued again for a retry.
  void push(OpenRequest& open);
  /// Puts an entry back that could not be served yet.
  void push(const Entry& entry) { entries_.push(entry); }
  bool empty() const { return entries_.empty(); }
  Entry pop();

  /// How long a request which came now would wait for a replica: those before it at the measured pace.
  Duration expected_wait(const std::string& kind, bool is_urgent) const;
  /// A request of this kind is about to leave the queue for a replica.
  void record_departure(const std::string& kind, TimePoint now);

 private:
  struct Pace {
    /// Milliseconds between two departures while others wait, exponentially smoothed.
    double interval = 0;
    /// The zero point before the first one.
    TimePoint last_departure{};
  };

  const OpenRequests& requests_;
  boost::heap::priority_queue<Entry> entries_;
  std::map<std::string, Pace> paces_;
};

}  // namespace mosskeel
