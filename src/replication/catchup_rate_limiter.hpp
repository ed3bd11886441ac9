#pragma once
// Rate limit for catch-up requests of a lagging daemon, so that large replies are not sent twice.
#include "replication/constants.hpp"

namespace mosskeel {

/// Allows a request at once after each new epoch, otherwise once per `kCatchUpInterval`.
class CatchupRateLimiter {
 public:
  /// Whether a daemon at epoch `known` may send a request now; if so, records it as sent.
  bool may_request(Epoch known, TimePoint now) {
    if (now < next_request_at_ && last_known_ == known)
      return false;
    next_request_at_ = now + kCatchUpInterval;
    last_known_ = known;
    return true;
  }

 private:
  TimePoint next_request_at_{};
  /// The epoch known at the last request.
  Epoch last_known_{};
};

}  // namespace mosskeel
