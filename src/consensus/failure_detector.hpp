#pragma once
// Who was heard when, and what they knew: the observations of one controller.
#include "follow/ledger.hpp"

namespace mosskeel {

struct PeerStatus {
  Millis last = 0;
  Epoch known{};
  uint32_t load = 0;
  Epoch streamed{};
  uint32_t running = 0;
  Candidate self{};
  uint32_t lacking = 0;
};

class FailureDetector {
 public:
  explicit FailureDetector(Millis start) : start_(start) {}
  void hear(const Heartbeat& h, Millis now) {
    auto& x = heard_[h.self.inc];
    x = {now, std::max(x.known, h.known), h.load, h.streamed, h.running, h.self, h.lacking};
  }
  const PeerStatus* of(Incarnation inc) const {
    auto i = heard_.find(inc);
    return i == heard_.end() ? nullptr : &i->second;
  }
  Millis silence(const Daemon& d, Millis now) const {
    auto* h = of(d.self.inc);
    return now - (h ? h->last : start_);
  }
  /// Whether another incarnation speaks at a daemon's address since the daemon itself was last heard: it runs no more.
  bool superseded(const Daemon& daemon, Millis now) const {
    auto* own = of(daemon.self.inc);
    for (auto& [inc, status] : heard_)
      if (inc != daemon.self.inc && status.self.addr == daemon.self.addr && now - status.last < limits::silence &&
          (!own || status.last > own->last))
        return true;
    return false;
  }
  Silences silences(const Metadata& m, Millis now) const {
    Silences s;
    for (auto& [id, d] : m.directory)
      if (d.state != DaemonState::left) s[id] = silence(d, now);
    return s;
  }

 private:
  Millis start_;
  std::map<Incarnation, PeerStatus> heard_;
};

}  // namespace mosskeel
