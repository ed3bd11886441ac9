#include "platform_stub/served_counts.hpp"

#include <cstdio>

namespace mosskeel::platform_stub {

void ServedCounts::record(const std::string& category, bool is_served) {
  auto& count = counts_[category];
  ++count.requests;
  if (is_served)
    ++count.served;
}

void ServedCounts::print() const {
  for (const auto& [category, count] : counts_)
    printf("%-10s %4d of %4d served\n", category.c_str(), count.served, count.requests);
}

int ServedCounts::requests() const {
  int sum = 0;
  for (const auto& [category, count] : counts_)
    sum += count.requests;
  return sum;
}

int ServedCounts::served() const {
  int sum = 0;
  for (const auto& [category, count] : counts_)
    sum += count.served;
  return sum;
}

bool ServedCounts::reaches(double share) const {
  return requests() > 0 && served() >= share * requests();
}

}  // namespace mosskeel::platform_stub
