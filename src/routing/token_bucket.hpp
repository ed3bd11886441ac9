#pragma once
// Rate limit of the requests to a replica in slow start.
#include <algorithm>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Token bucket: a request takes one token, tokens return at a fixed rate up to a tenth of a second's worth (at least
/// one).
class TokenBucket {
 public:
  /// Empties the bucket down to the one token of the first request.
  void reset(TimePoint now) {
    tokens_ = 1;
    refilled_at_ = now;
  }
  /// Requests per second; 0 means that nothing is limited.
  void set_rate(double rate_per_second) { rate_per_second_ = rate_per_second; }
  bool is_limited() const { return rate_per_second_ > 0; }
  /// Adds the tokens that have accrued since the last refill.
  void refill(TimePoint now) {
    auto accrued = rate_per_second_ * std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(tokens_ + accrued, std::max(1.0, rate_per_second_ / 10));
    refilled_at_ = now;
  }
  bool has_token() const { return tokens_ >= 1; }
  void take() { tokens_ -= 1; }

 private:
  double rate_per_second_ = 0;
  double tokens_ = 0;
  TimePoint refilled_at_{};
};

}  // namespace mosskeel
