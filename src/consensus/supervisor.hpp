#pragma once
// What the holder of the supervisor lease decides: failures, joins, steps, replacements. All by commits.
#include "consensus/supervisor_lease.hpp"

namespace mosskeel {

class Supervisor {
 public:
  Supervisor(Outbox& out, Ledger& led, const FailureDetector& detector, const SupervisorLease& lease)
      : out_(out), led_(led), detector_(detector), lease_(lease) {}
  void tick(Millis now);
  void on(const CommitReply& r) {
    if (r.id == busy_) busy_.clear();
  }

 private:
  std::optional<Transformation> decide(Millis now);
  std::optional<Transformation> core(Millis now);
  const Daemon* newcomer(Millis now) const;
  const Daemon* lost_member(Millis now) const;
  bool holds_log(const Daemon& d) const;
  bool gone(const Daemon& d, Millis now) const;
  bool all_members_heard(Millis now) const;
  bool returned(const Daemon& d, Millis now) const;
  std::optional<Transformation> sequences(Millis now);
  std::optional<Transformation> repair(Millis now);
  std::optional<Transformation> warm(Millis now);
  /// How many members agree that a daemon was silent this long, or heard this lately.
  bool silent(const Daemon& d, Millis now, Millis limit) const;
  std::optional<Transformation> count(Millis now) const;
  bool heard(const Daemon& d, Millis now) const;
  bool passed(const Sequence& q, Millis now) const;
  Outbox& out_;
  Ledger& led_;
  const FailureDetector& detector_;
  const SupervisorLease& lease_;
  std::string busy_;
  Millis busy_until_ = 0, next_ = 0;
  std::map<DaemonId, std::pair<Epoch, Millis>> barrier_;
  std::map<DaemonId, Millis> later_;
  std::map<std::string, std::pair<Epoch, Millis>> cold_;
};

}  // namespace mosskeel
