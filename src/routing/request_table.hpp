#pragma once
// The active requests of a gateway, and the attempts that must not run through it again.
#include <unordered_map>

#include "routing/active_request.hpp"
#include "routing/recent_attempts.hpp"

namespace mosskeel::routing {

/// Bytes that are held for active requests.
struct HeldBytes {
  /// Bodies of callers' requests.
  size_t requests = 0;
  /// Texts of the turns before a turn.
  size_t chains = 0;
  /// Responses that are not forwarded before they are complete.
  size_t buffered_responses = 0;
  /// Outputs of turns that are to be kept.
  size_t turn_outputs = 0;
};

/// Owns the active requests. Holds at most one request per attempt id if the request may run only once, and remembers
/// the ids of such requests that may have run for some time after they end.
class RequestTable {
 public:
  enum class Duplicate { none, in_progress, may_have_run };
  /// Whether a request that may run only once is active or may have run under this attempt id.
  Duplicate find_duplicate(const std::string& attempt_id) const;
  /// References stay valid until the request is removed.
  ActiveRequest& add(ActiveRequest request);
  ActiveRequest* find(RequestId id);
  /// The turn with this attempt id; nullptr if there is none.
  ActiveRequest* find_turn(const std::string& attempt_id);
  void remove(const ActiveRequest& request);
  /// In order of arrival.
  std::vector<RequestId> ids() const;
  size_t size() const { return requests_.size(); }
  /// Sums up over all requests.
  HeldBytes held_bytes() const;

 private:
  std::map<RequestId, ActiveRequest> requests_;
  /// Contains only requests that may run only once.
  std::unordered_map<std::string, RequestId> id_by_attempt_;
  RecentAttempts may_have_run_;
};

}  // namespace mosskeel::routing
