#pragma once
// What a load run counts, times and finds wrong.
#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

/// Latencies of one kind of request.
struct LatencySeries {
  std::vector<double> milliseconds;
  /// The latency below which this share of the requests lies; 0 where there are none.
  double quantile(double share) const;
};

/// Collects from all threads of a run.
class LoadReport {
 public:
  /// Something that must never happen.
  void add_violation(const std::string& text);
  void count(const std::string& what, uint64_t amount = 1);
  void add_latency(const std::string& what, double milliseconds);
  size_t violation_count() const;

  std::string as_text() const;
  std::string as_json() const;

 private:
  mutable std::mutex mutex_;
  /// The first ones only.
  std::vector<std::string> violations_;
  size_t violation_count_ = 0;
  std::map<std::string, uint64_t> counts_;
  std::map<std::string, LatencySeries> latencies_;
};

}  // namespace mosskeel::loadgen
