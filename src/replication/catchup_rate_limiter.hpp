#pragma once
// Limits how often a lagging daemon requests updates, so that large replies are not sent twice.
#include "replication/constants.hpp"

namespace mosskeel {

/// Lets a request pass at once after each new epoch, else once each `kCatchUpInterval`.
class CatchupRateLimiter {
 public:
  /// Whether a daemon at epoch `known` may send a request now; if so, counts it as sent.
  bool may_request(Epoch known, TimePoint now) {
    if (now < next_request_at_ && last_known_ == known)
      return false;
    next_request_at_ = now + kCatchUpInterval;
    last_known_ = known;
    return true;
  }

 private:
  TimePoint next_request_at_{};
  /// The epoch that was known at the last request.
  Epoch last_known_{};
};

}  // namespace mosskeel
