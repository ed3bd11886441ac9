#pragma once
// Tracks whether a turn without an outcome is still running, and on which gateway.
#include "programs/open_requests.hpp"
#include "routing/turn_client.hpp"

namespace mosskeel {

/// Answers whether this gateway runs a turn, and queries the gateways that reserved other turns. A turn counts as no
/// longer running only if its gateway says so or is no longer in service, never because of a record's age.
class TurnRunners {
 public:
  TurnRunners(GatewayContext& context, const OpenRequests& requests, const TurnClient& turn_client)
      : context_(context), requests_(requests), turn_client_(turn_client) {}

  /// Whether a turn under this key is between its reservation and its outcome here.
  bool runs_here(const HistoryName& history, const std::string& key) const;
  /// Whether the gateway that wrote the reservation may still run its turn. Queries it at most once per
  /// kStoreRetryInterval, and returns true until it has denied.
  bool may_run_elsewhere(const HistoryName& history, const Record& reservation, TimePoint now);

  void handle(const Envelope& envelope, const QueryTurnRunner& query);
  void handle(const Envelope& envelope, const QueryTurnRunnerReply& reply);
  /// Drops queries that were not sent again for kIdleHistoryTimeout.
  void expire(TimePoint now);

 private:
  /// Identifies a turn's reservation.
  struct ReservationId {
    HistoryName history{};
    std::string key;
    /// The gateway that reserved the turn.
    DaemonId runner{};
    auto operator<=>(const ReservationId&) const = default;
  };
  struct Query {
    TimePoint sent_at{};
    /// Whether the gateway has denied: it does not run the turn and never will.
    bool is_denied = false;
  };

  GatewayContext& context_;
  const OpenRequests& requests_;
  const TurnClient& turn_client_;
  std::map<ReservationId, Query> queries_;
};

}  // namespace mosskeel
