#pragma once
// How many of the callers' requests were served.
#include <map>
#include <string>

namespace mosskeel::platform_stub {

/// Counts requests and those served, by a category such as a path. A request that was retried with success is served.
class ServedCounts {
 public:
  void record(const std::string& category, bool is_served);
  /// Prints a line for each category.
  void print() const;
  int requests() const;
  int served() const;
  /// Whether there were requests, and at least this share of them was served.
  bool reaches(double share) const;

 private:
  struct Count {
    int served = 0;
    int requests = 0;
  };
  std::map<std::string, Count> counts_;
};

}  // namespace mosskeel::platform_stub
