#include "programs/history_closer.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "programs/turn_log.hpp"

namespace mosskeel {
namespace {

constexpr size_t kMaxHistoriesWithReports = kLogEntriesKept * kMaxExpiredPerScan;

}  // namespace

void HistoryCloser::handle(const Envelope& envelope, const HistoryExpired& report, TimePoint now) {
  const auto* store = context_.metadata().find(envelope.from_incarnation);
  const auto& history = report.history;
  if (!store || report.partition != partition_of(history.cell, history.program))
    return;
  if (history_writer_.open(history, now) != HistoryWriter::State::open)
    return;
  if (history_writer_.ended(history)) {
    bool is_committed = history_writer_.committed_length(history) >= history_writer_.records(history).size();
    if (is_committed)
      context_.outbox.send(envelope.from, WriteTombstone{history, report.partition, history_writer_.term(history)},
                           envelope.from_incarnation);
    return;
  }
  reported_lengths_[history][store->id] = report.length;
  if (!has_expired_on_quorum(history) || is_in_use(history, now))
    return;
  Record end{};
  end.kind = RecordKind::ended;
  history_writer_.append(history, std::move(end), now);
  reported_lengths_.erase(history);
  context_.count("histories_expired");
}

bool HistoryCloser::has_expired_on_quorum(const HistoryName& history) const {
  auto length = history_writer_.records(history).size();
  if (length == 0 || history_writer_.committed_length(history) < length)
    return false;
  const auto& reported = reported_lengths_.at(history);
  auto reports_present_length = [&](DaemonId store) {
    auto found = reported.find(store);
    return found != reported.end() && found->second == length;
  };
  return history_writer_.has_quorum(history, reports_present_length);
}

bool HistoryCloser::is_in_use(const HistoryName& history, TimePoint now) {
  if (requests_.contains_if([&](const OpenRequest& open) { return open.history == history; }))
    return true;
  auto turns = turns_by_key(history_writer_.records(history));
  return std::any_of(turns.begin(), turns.end(), [&](const auto& entry) {
    const auto& turn = entry.second;
    return turn.is_open() && turn_runners_.may_run_elsewhere(history, *turn.latest, now);
  });
}

void HistoryCloser::expire() {
  if (reported_lengths_.size() > kMaxHistoriesWithReports)
    reported_lengths_.clear();
}

}  // namespace mosskeel
