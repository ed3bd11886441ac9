#include "history/ownership_checks.hpp"

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"

namespace mosskeel {
namespace {

/// Not a valid name of a configured cell, so that it never matches a history.
constexpr const char* kOwnershipCheckCell = "?";

}  // namespace

bool OwnershipChecks::is_reply_to_check(const ReadHistoryReply& reply) {
  return reply.history.cell == kOwnershipCheckCell;
}

OwnershipChecks::State OwnershipChecks::check(const HistoryName& history, PartitionId partition,
                                              const std::string& request, TimePoint now) {
  auto [entry, inserted] = checks_.try_emplace(Key{history, request});
  auto& check = entry->second;
  if (inserted) {
    check.number = ++last_number_;
    check.partition = partition;
    check.term = metadata_log_.view()->partitions[partition.value()].term;
    check.started_at = now;
    send(check, now);
  }
  auto result = state(check, now);
  if (result != State::checking)
    checks_.erase(entry);
  return result;
}

OwnershipChecks::State OwnershipChecks::state(const Check& check, TimePoint now) const {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[check.partition.value()];
  if (partition.term != check.term)
    return State::refuted;
  if (is_write_quorum(metadata, partition, [&](DaemonId id) { return check.granted.count(id) > 0; }))
    return State::confirmed;
  bool quorum_is_possible =
      is_write_quorum(metadata, partition, [&](DaemonId id) { return check.rejected.count(id) == 0; });
  bool timed_out = now - check.started_at > kHistoryQuorumTimeout;
  return quorum_is_possible && !timed_out ? State::checking : State::refuted;
}

void OwnershipChecks::send(Check& check, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  HistoryName name{kOwnershipCheckCell, std::to_string(check.number)};
  for (auto* store : write_targets(metadata, metadata.partitions[check.partition.value()])) {
    bool has_answered = check.granted.count(store->id) > 0 || check.rejected.count(store->id) > 0;
    if (!has_answered)
      out_.send(store->self.address, ReadHistory{name, check.partition, check.term}, store->self.incarnation);
  }
  check.last_sent_at = now;
}

std::optional<HistoryName> OwnershipChecks::handle(const ReadHistoryReply& reply, const Envelope& envelope) {
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!store)
    return std::nullopt;
  for (auto& [key, check] : checks_) {
    if (reply.history.program != std::to_string(check.number))
      continue;
    auto& answers = reply.granted ? check.granted : check.rejected;
    answers.insert(store->id);
    bool has_ended = state(check, check.started_at) != State::checking;
    return has_ended ? std::optional(key.history) : std::nullopt;
  }
  return std::nullopt;
}

std::vector<HistoryName> OwnershipChecks::tick(TimePoint now) {
  std::vector<HistoryName> ended;
  for (auto next = checks_.begin(); next != checks_.end();) {
    auto current = next++;
    auto& check = current->second;
    if (now - check.started_at > 2 * kHistoryQuorumTimeout) {
      checks_.erase(current);
    } else if (state(check, now) != State::checking) {
      ended.push_back(current->first.history);
    } else if (now - check.last_sent_at >= kStoreRetryInterval) {
      send(check, now);
    }
  }
  return ended;
}

}  // namespace mosskeel
