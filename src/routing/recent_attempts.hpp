#pragma once
// The ids of the attempts that may have run here lately.
#include <deque>
#include <unordered_set>

#include "mosskeel/common.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

/// Remembers the last `kRecentAttempts` ids, the oldest go first.
class RecentAttempts {
 public:
  void add(const std::string& attempt);
  bool contains(const std::string& attempt) const { return known_.count(digest(attempt)) > 0; }

 private:
  std::unordered_set<uint64_t> known_;
  std::deque<uint64_t> order_;
};

}  // namespace mosskeel
