#pragma once
// Disaster recovery: re-founds the core from its survivors when a majority of its members is permanently lost.
#include "consensus/discovered_controllers.hpp"
#include "consensus/failure_detector.hpp"
#include "consensus/proposer.hpp"

namespace mosskeel {

/// Monitors the core, and proposes its re-founding under a new cluster id when a majority is provably lost or when an
/// operator requests it.
///
/// A silent member is provably lost only if another controller runs at its address that registered later or has not
/// registered yet: the member's disk is then gone, and it can no longer vote. Before it proposes, this controller
/// fetches the longest log that any daemon has. Owned by `ControllerMachine` and used on its thread only.
class Refounding {
 public:
  Refounding(Outbox& outbox, MetadataLog& metadata_log, const FailureDetector& detector, Proposer& proposer,
             DiscoveredControllers& discovered)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        detector_(detector),
        proposer_(proposer),
        discovered_(discovered) {}

  /// Checks the core each discovery interval.
  void tick(TimePoint now);
  /// Handles an operator's declaration that members are permanently lost; refused while a majority of the core is
  /// alive.
  void handle(const Envelope& envelope, const RefoundRequest& request, TimePoint now);

 private:
  struct CoreSurvey {
    /// Silent members that are provably lost.
    std::vector<DaemonId> lost;
    /// Whether every silent member is provably lost.
    bool all_silent_are_lost = true;
    /// The only controller that may propose: the first member that is alive, else the successor with the lowest
    /// incarnation.
    Incarnation proposer{};
  };

  bool is_silent(DaemonId member, TimePoint now) const;
  bool has_live_majority(TimePoint now) const;
  std::optional<Incarnation> successor_of(const Daemon& member) const;
  CoreSurvey survey_core(TimePoint now);
  bool must_propose(const CoreSurvey& survey) const;
  void request_longer_logs();
  std::string refusal(const RefoundRequest& request, TimePoint now) const;
  void propose(const std::vector<DaemonId>& lost, TimePoint now);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  Proposer& proposer_;
  DiscoveredControllers& discovered_;
  TimePoint next_survey_at_{};
  /// Since when this controller has been fetching logs in order to propose a re-founding.
  std::optional<TimePoint> fetching_logs_since_;
};

}  // namespace mosskeel
