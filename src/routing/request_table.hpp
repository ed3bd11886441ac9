#pragma once
// The requests that a gateway carries, and the attempts that may not run here again.
#include <unordered_map>

#include "routing/active_request.hpp"
#include "routing/recent_attempts.hpp"

namespace mosskeel::routing {

/// Owns the active requests. Of a request that may run only once there is at most one per attempt id; ids of those that
/// may have run are remembered for a while after their end.
class RequestTable {
 public:
  enum class Duplicate { none, in_progress, may_have_run };
  /// Whether a request that may run only once is, or may have been, here under this id.
  Duplicate find_duplicate(const std::string& attempt_id) const;
  /// References stay valid until the request is removed.
  ActiveRequest& add(ActiveRequest request);
  ActiveRequest* find(RequestId id);
  /// The turn of this attempt id; nullptr where there is none.
  ActiveRequest* find_turn(const std::string& attempt_id);
  void remove(const ActiveRequest& request);
  /// In order of arrival.
  std::vector<RequestId> ids() const;
  size_t size() const { return requests_.size(); }

 private:
  std::map<RequestId, ActiveRequest> requests_;
  /// Only requests that may run once.
  std::unordered_map<std::string, RequestId> id_by_attempt_;
  RecentAttempts may_have_run_;
};

}  // namespace mosskeel::routing
