#pragma once
// A controller: acceptor, proposer, founder, observer and, with the lease, supervisor.
#include "consensus/proposer.hpp"
#include "consensus/sequence_barrier.hpp"
#include "consensus/supervisor.hpp"

namespace mosskeel {

class ControllerMachine : public Machine {
 public:
  /// Throws nothing; damaged records were already refused by the disk layer.
  ControllerMachine(const Identity& id, const Recovered& r, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return metadata_log_.view(); }
  const std::deque<Entry>& recent_entries() const { return metadata_log_.recent_entries(); }
  const FailureDetector& failure_detector() const { return detector_; }
  const Candidate& self() const { return out_.id().self; }
  bool is_supervisor(Millis now) const { return lease_.held(now); }
  /// The core was founded anew without this controller: it has no say any more, its folder must be emptied.
  bool removed_by_refounding() const { return outdated_; }
  /// What still hinders that an epoch is in force; empty if nothing.
  std::string missing_acknowledgements(Epoch at, Millis now) const;
  /// Which partitions have a lost or silent member, so that a store that was emptied may not go yet; empty if none.
  std::string endangered(Millis now) const {
    return sequence_barrier::endangered(*metadata_log_.view(), detector_, now);
  }
  std::string checkpoint() const override;
  /// Begins to stop in order: hands the lease over, lets the core go on without this member, then asks to be stopped.
  /// What it sends goes out with the next tick.
  void begin_shutdown(Millis now);

 private:
  void handle(const Envelope& e, Millis now);
  void enact(const Entry& e);
  void learn(const Entries& v, const std::optional<Metadata>& c);
  void init_founders(const Recovered& r);
  bool founder(const Address& a) const;
  bool may_found(Millis now) const;
  bool may_vote(Millis now) const;
  Candidates candidates() const;
  void discover(Millis now);
  void found(Millis now);
  void register_self(Millis now);
  void end_in_order(Millis now);
  void beat(Millis now);
  /// Looks whether a majority of the core is provably lost, and then founds it anew.
  void survey(Millis now);
  void on(const Envelope& e, const RefoundRequest& r, Millis now);
  bool core_lives(Millis now) const;
  std::optional<Incarnation> successor_at(const Daemon& d) const;
  void refound(const std::vector<DaemonId>& lost, Millis now);
  void moved(Epoch before, Millis now);
  bool known_sender(const Envelope& e) const;
  void answer_outsider(const Envelope& e);
  HeartbeatReply reply_to(const Heartbeat& h) const;
  Actions done();

  Outbox out_;
  MetadataLog metadata_log_;
  Acceptor acc_;
  FailureDetector detector_;
  SupervisorLease lease_;
  Supervisor sup_;
  Proposer prop_;
  CatchupRateLimiter pace_;
  std::map<Incarnation, std::pair<Candidate, Millis>> fellows_;
  Millis born_, evidence_ = INT64_MIN / 2, survey_since_ = 0, next_survey_ = 0, open_since_ = 0, next_discover_ = 0,
                next_beat_ = 0, next_register_ = 0;
  /// Whose controllers may found the cluster; empty for one that has no say in it.
  Addresses founders_;
  std::optional<Millis> leaving_since_;
  size_t register_tries_ = 0;
  Epoch beaten_{}, open_at_{};
  size_t grown_ = 0;
  bool outdated_ = false;
};

}  // namespace mosskeel
