#pragma once
// Rate limit for requests to a replica in slow start.
#include <algorithm>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Token bucket: each request consumes one token. Tokens are refilled at a fixed rate; the bucket holds the tokens of a
/// tenth of a second, but at least one.
class TokenBucket {
 public:
  /// Resets the bucket to a single token, for the first request.
  void reset(TimePoint now) {
    tokens_ = 1;
    refilled_at_ = now;
  }
  /// Sets the requests per second; 0 means no limit.
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
