#pragma once
// What the holder of the supervisor lease decides: failures, joins, steps, replacements. All by commits.
#include "consensus/supervisor_lease.hpp"

namespace mosskeel {

class Supervisor {
 public:
  Supervisor(Outbox& out, MetadataLog& metadata_log, const FailureDetector& detector, const SupervisorLease& lease)
      : out_(out), metadata_log_(metadata_log), detector_(detector), lease_(lease) {}
  void tick(Millis now);
  void on(const CommitReply& r) {
    if (r.id == busy_)
      busy_.clear();
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
  std::optional<Transformation> proceed(Millis now);
  std::optional<Transformation> begin_join(Millis now) const;
  std::optional<Transformation> resume_drain(Millis now) const;
  std::optional<Transformation> repair(Millis now);
  std::optional<Transformation> forget(Millis now) const;
  std::optional<Transformation> warm(Millis now);
  /// How many members agree that a daemon was silent this long, or heard this lately.
  bool silent(const Daemon& d, Millis now, Millis limit) const;
  std::optional<Transformation> count(Millis now) const;
  bool heard(const Daemon& d, Millis now) const;
  bool passed(const Sequence& sequence, Millis now) const;
  std::string hindrance(const Sequence& sequence, Millis now);
  bool paused(DaemonId id, Millis now) const;
  bool store_in_doubt(Millis now) const;
  Millis repair_patience(DaemonId id) const;
  Outbox& out_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  const SupervisorLease& lease_;
  std::string busy_;
  Millis busy_until_ = 0, next_ = 0;
  std::map<DaemonId, std::pair<Epoch, Millis>> barrier_;
  std::map<DaemonId, Millis> later_;
  /// How many repairs of a store's places have begun, so that one that comes and goes causes fewer and fewer.
  std::map<DaemonId, uint32_t> repairs_;
  std::map<std::string, std::pair<Epoch, Millis>> cold_;
};

}  // namespace mosskeel
