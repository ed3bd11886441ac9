#pragma once
// Memory of the callers' attempts that may have run on this gateway lately.
#include <deque>
#include <unordered_set>

#include "mosskeel/common.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

/// Remembers the last `kRecentAttempts` attempt ids by a 64-bit digest each; the oldest is dropped first.
class RecentAttempts {
 public:
  void add(const std::string& attempt_id);
  bool contains(const std::string& attempt_id) const { return digests_.count(digest(attempt_id)) > 0; }

 private:
  std::unordered_set<uint64_t> digests_;
  std::deque<uint64_t> oldest_first_;
};

}  // namespace mosskeel
