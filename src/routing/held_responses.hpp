#pragma once
// Accounts for the bytes of responses that are held.
#include <functional>
#include <unordered_map>

#include "routing/response_limits.hpp"
#include "routing/router_messages.hpp"

namespace mosskeel::routing {

/// Counts the bytes that are held of each request's response, and of all together.
class HeldResponses {
 public:
  explicit HeldResponses(size_t max_bytes) : max_bytes_(max_bytes) {}
  /// Sets the bytes that are held for a request; 0 forgets it.
  void update(RequestId request, size_t bytes);
  size_t bytes() const { return bytes_; }
  bool exceeds_limit() const { return bytes_ > max_bytes_; }
  /// Whether so much is held that a response should be buffered only if it is small.
  bool is_scarce() const { return bytes_ > max_bytes_ / 2; }
  /// The request for which most is held among those that satisfy `predicate`; 0 if there is none.
  RequestId largest(const std::function<bool(RequestId)>& predicate) const;

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;
  /// Contains no zeros.
  std::unordered_map<RequestId, size_t> bytes_by_request_;
};

}  // namespace mosskeel::routing
