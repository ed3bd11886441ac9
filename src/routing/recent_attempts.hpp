#pragma once
// Ids of the callers' attempts that may recently have run through this gateway.
#include <deque>
#include <unordered_set>

#include "mosskeel/common.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

/// Stores 64-bit digests of the last `kRecentAttempts` attempt ids; the oldest is evicted first.
class RecentAttempts {
 public:
  void add(const std::string& attempt_id);
  bool contains(const std::string& attempt_id) const { return digests_.count(digest(attempt_id)) > 0; }

 private:
  std::unordered_set<uint64_t> digests_;
  std::deque<uint64_t> oldest_first_;
};

}  // namespace mosskeel
