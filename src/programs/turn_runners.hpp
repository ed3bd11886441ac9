#pragma once
// Whether a turn without an outcome is still running, and where.
#include "programs/open_requests.hpp"
#include "routing/turn_client.hpp"

namespace mosskeel {

/// Answers for this gateway whether it runs a turn, and asks the gateways that reserved others. Only their own
/// answer counts, or a directory without them; never the age of a record.
class TurnRunners {
 public:
  TurnRunners(GatewayContext& context, const OpenRequests& requests, const TurnClient& turn_client)
      : context_(context), requests_(requests), turn_client_(turn_client) {}

  /// Whether a turn under this key is between its reservation and its outcome here.
  bool runs_here(const HistoryName& history, const std::string& key) const;
  /// Whether the gateway that wrote the reservation may still run its turn. Asks it, at most once per
  /// kStoreRetryInterval; the answer is true until it has denied.
  bool may_run_elsewhere(const HistoryName& history, const Record& reservation, TimePoint now);

  void handle(const Envelope& envelope, const QueryTurnRunner& query);
  void handle(const Envelope& envelope, const QueryTurnRunnerReply& reply);
  /// Forgets queries that nobody has asked about for kIdleHistoryTimeout.
  void expire(TimePoint now);

 private:
  /// What tells a turn's reservation from all others.
  struct ReservationId {
    HistoryName history{};
    std::string key;
    /// The gateway that reserved the turn.
    DaemonId runner{};
    auto operator<=>(const ReservationId&) const = default;
  };
  struct Query {
    TimePoint sent_at{};
    /// The gateway has denied: it does not run the turn and never will.
    bool is_denied = false;
  };

  GatewayContext& context_;
  const OpenRequests& requests_;
  const TurnClient& turn_client_;
  std::map<ReservationId, Query> queries_;
};

}  // namespace mosskeel
