#pragma once
// Who was heard when, and what they knew: the observations of one controller.
#include "consensus/constants.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

struct PeerStatus {
  Millis last_heartbeat_at = 0;
  Epoch known_epoch{};
  uint32_t load = 0;
  Epoch streamed_epoch{};
  uint32_t running = 0;
  Candidate self{};
  uint32_t incomplete_comparisons = 0;
  /// It announced that its process ends in order.
  bool leaving = false;
};

class FailureDetector {
 public:
  explicit FailureDetector(Millis start) : start_(start) {}
  void record(const Heartbeat& h, Millis now) {
    auto& x = heard_[h.self.incarnation];
    x = {now,    std::max(x.known_epoch, h.known), h.load,   h.streamed, h.running,
         h.self, h.incomplete_comparisons,         h.leaving};
  }
  const PeerStatus* status_of(Incarnation incarnation) const {
    auto i = heard_.find(incarnation);
    return i == heard_.end() ? nullptr : &i->second;
  }
  Millis heartbeat_age(const Daemon& d, Millis now) const {
    auto* h = status_of(d.self.incarnation);
    return now - (h ? h->last_heartbeat_at : start_);
  }
  /// Whether another incarnation speaks at a daemon's address since the daemon itself was last heard: it runs no more.
  bool superseded(const Daemon& daemon, Millis now) const {
    auto* own = status_of(daemon.self.incarnation);
    for (auto& [incarnation, status] : heard_)
      if (incarnation != daemon.self.incarnation && status.self.address == daemon.self.address &&
          now - status.last_heartbeat_at < kHeartbeatTimeout &&
          (!own || status.last_heartbeat_at > own->last_heartbeat_at))
        return true;
    return false;
  }
  HeartbeatAges heartbeat_ages(const Metadata& m, Millis now) const {
    HeartbeatAges s;
    for (auto& [id, d] : m.directory)
      if (d.state != DaemonState::left)
        s[id] = heartbeat_age(d, now);
    return s;
  }

 private:
  Millis start_;
  std::map<Incarnation, PeerStatus> heard_;
};

}  // namespace mosskeel
