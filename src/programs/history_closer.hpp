#pragma once
// Ends histories whose retention has expired.
#include "history/history_writer.hpp"
#include "programs/turn_runners.hpp"

namespace mosskeel {

/// Ends a history that is not in use once a quorum of its stores has reported, each by its own clock, that the
/// history's retention has expired at its current length. Once the end is committed, stores that still report the
/// history are told to replace it by a tombstone.
class HistoryCloser {
 public:
  HistoryCloser(GatewayContext& context, HistoryWriter& history_writer, const OpenRequests& requests,
                TurnRunners& turn_runners)
      : context_(context), history_writer_(history_writer), requests_(requests), turn_runners_(turn_runners) {}

  /// Handles a store's report about a history in a partition that this gateway owns.
  void handle(const Envelope& envelope, const HistoryExpired& report, TimePoint now);
  /// Bounds the number of stored reports. Dropping them is safe, because stores repeat their reports.
  void expire();

 private:
  bool has_expired_on_quorum(const HistoryName& history) const;
  bool is_in_use(const HistoryName& history, TimePoint now);

  GatewayContext& context_;
  HistoryWriter& history_writer_;
  const OpenRequests& requests_;
  TurnRunners& turn_runners_;
  /// The history's length at which each store has reported it as expired.
  std::map<HistoryName, std::map<DaemonId, uint64_t>> reported_lengths_;
};

}  // namespace mosskeel
