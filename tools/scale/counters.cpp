#include "scale/counters.hpp"

namespace mosskeel::scale {
namespace {

void add(TrafficByKind& sum, const TrafficByKind& traffic) {
  for (const auto& [kind, amount] : traffic)
    sum[kind] += amount;
}

}  // namespace

Traffic total(const TrafficByKind& traffic) {
  Traffic sum;
  for (const auto& [kind, amount] : traffic)
    sum += amount;
  return sum;
}

Counters& Counters::operator+=(const Counters& other) {
  add(sent, other.sent);
  add(received, other.received);
  add(machine_local, other.machine_local);
  cpu_nanoseconds += other.cpu_nanoseconds;
  journal_bytes += other.journal_bytes;
  syncs += other.syncs;
  checkpoints += other.checkpoints;
  checkpoint_bytes += other.checkpoint_bytes;
  return *this;
}

Traffic Counters::network() const {
  auto sum = total(sent);
  sum += total(received);
  return sum;
}

}  // namespace mosskeel::scale
