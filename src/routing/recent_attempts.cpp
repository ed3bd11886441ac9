#include "routing/recent_attempts.hpp"

namespace mosskeel {

void RecentAttempts::add(const std::string& attempt_id) {
  auto attempt_digest = digest(attempt_id);
  if (!digests_.insert(attempt_digest).second)
    return;
  oldest_first_.push_back(attempt_digest);
  if (oldest_first_.size() <= kRecentAttempts)
    return;
  digests_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

}  // namespace mosskeel
