#pragma once
// The attempts of a request so far, and whether another one is allowed.
#include "messages/message.hpp"

namespace mosskeel::routing {

/// Counts the attempts of one request and records whether any of them may have run.
///
/// Invariant: once an attempt may have run, the caller is never told that the request has not run.
class RetryState {
 public:
  void on_sent(const std::string& replica) {
    ++attempts_;
    tried_replicas_.push_back(replica);
  }
  /// The last attempt was not sent: it does not count, but its replica is not tried again.
  void on_not_sent() { --attempts_; }
  /// An attempt ended without a response to forward; `executed` tells whether it has run.
  void on_failure(Outcome executed) { outcome_unknown_ = outcome_unknown_ || executed != Outcome::no; }

  /// Whether any attempt may have run whose response this gateway did not receive.
  bool outcome_unknown() const { return outcome_unknown_; }
  const std::vector<std::string>& tried_replicas() const { return tried_replicas_; }
  /// Whether the path allows one more attempt.
  bool has_attempts_left(const Path& path) const { return attempts_ < std::max(1u, path.attempts); }
  /// Whether another attempt is allowed after a failed one; `executed` tells whether that one has run.
  bool allows_retry(const Path& path, Outcome executed) const;
  /// Status of the error response if no replica has responded: 502 if the request may have run, else 503.
  uint32_t error_status() const { return outcome_unknown_ ? 502 : 503; }
  /// Status of the turn's outcome: 502 if it may have run, else 0 for not run.
  uint32_t turn_status() const { return outcome_unknown_ ? 502 : 0; }

 private:
  uint32_t attempts_ = 0;
  std::vector<std::string> tried_replicas_;
  bool outcome_unknown_ = false;
};

}  // namespace mosskeel::routing
