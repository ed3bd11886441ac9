#pragma once
// What a controller does when a majority of the core is gone for good: the core is founded anew from its survivors.
#include "consensus/discovered_controllers.hpp"
#include "consensus/failure_detector.hpp"
#include "consensus/proposer.hpp"

namespace mosskeel {

/// Watches the core, and proposes its re-founding under a new cluster id when a majority is provably lost, or when an
/// operator demands it.
///
/// A silent member is provably lost only when another controller runs at its address that registered later, or not yet:
/// its disk is gone, so it can no longer vote. Before the proposal this controller gathers the longest log that any
/// daemon has. Owned by `ControllerMachine` and used on its thread only.
class Refounding {
 public:
  Refounding(Outbox& outbox, MetadataLog& metadata_log, const FailureDetector& detector, Proposer& proposer,
             DiscoveredControllers& discovered)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        detector_(detector),
        proposer_(proposer),
        discovered_(discovered) {}

  /// Looks at the core each discovery interval.
  void tick(TimePoint now);
  /// An operator declares members as lost for good; refused while a majority of the core is alive.
  void handle(const Envelope& envelope, const RefoundRequest& request, TimePoint now);

 private:
  struct CoreSurvey {
    /// Silent members that are provably lost.
    std::vector<DaemonId> lost;
    /// Whether every silent member is.
    bool all_silent_are_lost = true;
    /// The one controller that is to propose: the first member that is alive, else the lowest of the successors.
    Incarnation proposer{};
  };

  bool is_silent(DaemonId member, TimePoint now) const;
  bool majority_is_alive(TimePoint now) const;
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
  /// Since when this controller gathers logs to propose a re-founding.
  std::optional<TimePoint> gathering_since_;
};

}  // namespace mosskeel
