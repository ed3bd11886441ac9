#include "load_report.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace mosskeel::loadgen {
namespace {

constexpr size_t kMaxListedViolations = 50;

}  // namespace

double LatencySeries::quantile(double share) const {
  if (milliseconds.empty())
    return 0;
  auto sorted = milliseconds;
  std::sort(sorted.begin(), sorted.end());
  auto index = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(sorted.size() - 1, index)];
}

void LoadReport::add_violation(const std::string& text) {
  std::lock_guard lock(mutex_);
  ++violation_count_;
  if (violations_.size() < kMaxListedViolations)
    violations_.push_back(text);
}

void LoadReport::count(const std::string& what, uint64_t amount) {
  std::lock_guard lock(mutex_);
  counts_[what] += amount;
}

void LoadReport::add_latency(const std::string& what, double milliseconds) {
  std::lock_guard lock(mutex_);
  latencies_[what].milliseconds.push_back(milliseconds);
}

size_t LoadReport::violation_count() const {
  std::lock_guard lock(mutex_);
  return violation_count_;
}

std::string LoadReport::as_text() const {
  std::lock_guard lock(mutex_);
  std::ostringstream text;
  for (const auto& [what, count] : counts_)
    text << what << ": " << count << "\n";
  text.precision(1);
  text << std::fixed;
  for (const auto& [what, series] : latencies_) {
    text << what << ": " << series.milliseconds.size() << " done, p50 " << series.quantile(0.5) << " ms, p99 "
         << series.quantile(0.99) << " ms, max " << series.quantile(1) << " ms\n";
  }
  for (const auto& violation : violations_)
    text << "VIOLATION " << violation << "\n";
  text << violation_count_ << " violations\n";
  return text.str();
}

std::string LoadReport::as_json() const {
  std::lock_guard lock(mutex_);
  nlohmann::json report{{"counts", counts_}, {"violations", violations_}, {"violation_count", violation_count_}};
  for (const auto& [what, series] : latencies_) {
    report["latency_ms"][what] = {{"n", series.milliseconds.size()},
                                  {"p50", series.quantile(0.5)},
                                  {"p99", series.quantile(0.99)},
                                  {"max", series.quantile(1)}};
  }
  return report.dump(2) + "\n";
}

}  // namespace mosskeel::loadgen
