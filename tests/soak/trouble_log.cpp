#include "soak/trouble_log.hpp"

#include <algorithm>

namespace mosskeel::soak {

namespace {

/// A request that was sent later after SIGTERM must be answered, however long its replica works.
constexpr Duration kExcusedSending = 3000ms;
/// In the last sixth of the grace a replica that is still at work excuses the loss.
constexpr Duration kExcusedEnd = kShutdownGrace * 5 / 6;

template <class Entries, class Predicate>
bool any_of_machine(const Entries& entries, MachineId machine, const Predicate& matches) {
  auto found = entries.find(machine);
  return found != entries.end() && std::any_of(found->second.begin(), found->second.end(), matches);
}

}  // namespace

bool TroubleLog::excuses_loss(MachineId machine, MonotonicTime sent_at, MonotonicTime lost_at) const {
  auto overlaps = [&](const Trouble& trouble) {
    bool begins_before = trouble.begin <= lost_at;
    bool lasts_until = !trouble.end || *trouble.end + kContactTime >= sent_at;
    return begins_before && lasts_until;
  };
  auto is_cut_by_end = [&](MonotonicTime stop) {
    bool was_sent_early = sent_at <= stop + kExcusedSending;
    return was_sent_early && lost_at >= stop + kExcusedEnd && sent_at + kShutdownGrace >= stop;
  };
  return any_of_machine(troubles_, machine, overlaps) || any_of_machine(stops_, machine, is_cut_by_end);
}

}  // namespace mosskeel::soak
