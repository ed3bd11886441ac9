#include "routing/recent_attempts.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

void RecentAttempts::add(const std::string& attempt) {
  auto id = digest(attempt);
  if (!known_.insert(id).second)
    return;
  order_.push_back(id);
  if (order_.size() <= kRecentAttempts)
    return;
  known_.erase(order_.front());
  order_.pop_front();
}

}  // namespace mosskeel
