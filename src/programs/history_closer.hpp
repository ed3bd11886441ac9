#pragma once
// The end of histories whose retention is over.
#include "history/history_writer.hpp"
#include "programs/turn_runners.hpp"

namespace mosskeel {

/// Ends a history once a quorum of its stores reports, each by its own clock, that its retention is over at its
/// present length, and nothing is under way on it. Once its end is committed, the stores that still report it are told
/// to replace it by a tombstone.
class HistoryCloser {
 public:
  HistoryCloser(GatewayContext& context, HistoryWriter& history_writer, const OpenRequests& requests,
                TurnRunners& turn_runners)
      : context_(context), history_writer_(history_writer), requests_(requests), turn_runners_(turn_runners) {}

  /// A store's report on a history of a partition that this gateway owns.
  void handle(const Envelope& envelope, const HistoryExpired& report, TimePoint now);
  /// Bounds the reports that are kept; stores repeat theirs.
  void expire();

 private:
  bool has_expired_on_quorum(const HistoryName& history) const;
  bool is_in_use(const HistoryName& history, TimePoint now);

  GatewayContext& context_;
  HistoryWriter& history_writer_;
  const OpenRequests& requests_;
  TurnRunners& turn_runners_;
  /// The length at which each store called the history expired.
  std::map<HistoryName, std::map<DaemonId, uint64_t>> reported_lengths_;
};

}  // namespace mosskeel
