#pragma once
// What is known of a request's attempts, and whether another one may follow.
#include "messages/message.hpp"

namespace mosskeel::routing {

/// Counts the attempts of one request and keeps whether any of them may have run.
///
/// Invariant: once an attempt may have run, the caller is never told that the request has not.
class RetryState {
 public:
  void on_sent(const std::string& replica) {
    ++attempts_;
    tried_replicas_.push_back(replica);
  }
  /// The last attempt did not leave this gateway: it doesn't count, but its replica is not tried again.
  void on_not_sent() { --attempts_; }
  /// An attempt ended without a response to pass on; `ran` is what is known of it.
  void on_failure(Outcome ran) { outcome_unknown_ = outcome_unknown_ || ran != Outcome::no; }

  /// Whether any attempt may have run without this gateway having its response.
  bool outcome_unknown() const { return outcome_unknown_; }
  const std::vector<std::string>& tried_replicas() const { return tried_replicas_; }
  /// Whether the path allows one more attempt.
  bool has_attempts_left(const Path& path) const { return attempts_ < std::max(1u, path.attempts); }
  /// Whether another attempt may follow the one that failed, of which `ran` is known.
  bool allows_retry(const Path& path, Outcome ran) const;
  /// Status of the error response for a request without a response: 502 where it may have run, else 503.
  uint32_t error_status() const { return outcome_unknown_ ? 502 : 503; }
  /// Status of a turn's outcome: 502 where it may have run, else 0 for not run.
  uint32_t turn_status() const { return outcome_unknown_ ? 502 : 0; }

 private:
  uint32_t attempts_ = 0;
  std::vector<std::string> tried_replicas_;
  bool outcome_unknown_ = false;
};

}  // namespace mosskeel::routing
