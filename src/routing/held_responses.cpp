#include "routing/held_responses.hpp"

namespace mosskeel::routing {

void HeldResponses::update(RequestId request, size_t bytes) {
  if (bytes == 0) {
    if (auto found = bytes_by_request_.find(request); found != bytes_by_request_.end()) {
      bytes_ -= found->second;
      bytes_by_request_.erase(found);
    }
    return;
  }
  auto& counted = bytes_by_request_[request];
  bytes_ = bytes_ - counted + bytes;
  counted = bytes;
}

RequestId HeldResponses::largest(const std::function<bool(RequestId)>& predicate) const {
  RequestId largest = 0;
  size_t largest_bytes = 0;
  for (auto& [request, bytes] : bytes_by_request_) {
    if (bytes > largest_bytes && predicate(request)) {
      largest = request;
      largest_bytes = bytes;
    }
  }
  return largest;
}

}  // namespace mosskeel::routing
