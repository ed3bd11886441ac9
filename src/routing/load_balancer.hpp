#pragma once
// Which replica takes a request: rendezvous hashing with bounded load, the own zone first.
#include <unordered_map>

#include "routing/routing_snapshot.hpp"

namespace mosskeel {

/// What a choice rests on. `key` keeps what belongs together on one replica; 0 spreads.
struct LoadBalancerContext {
  std::string service;
  uint64_t key = 0;
  const std::vector<std::string>* tried = nullptr;
};

class LoadBalancer {
 public:
  /// Takes over a new view: replicas that are gone are forgotten.
  void update(const RoutingSnapshot& o, Millis now);
  /// The replica that suits best and has a free place here, or nothing; `any` tells whether one would do later.
  const Replica* pick(const LoadBalancerContext& w, Millis now, bool& any);
  void took(const std::string& name, Millis now);
  void gave(const std::string& name);
  void back_off(const std::string& name, Millis until);
  /// What a replica told of itself: running, waiting, places.
  void told(const std::string& name, const std::array<uint32_t, 3>& load, Millis now);
  uint32_t load(const std::string& name) const;

 private:
  struct Seen {
    const Replica* r = nullptr;
    uint32_t running = 0, cap = 1;
    Millis backed_off = 0, cold_at = 0;
    bool mine = true, present = false, local = false;
    double tokens = 0, rate = 0;
    Epoch since{};
    uint64_t last = 0;
  };
  bool free(Seen& s, Millis now);
  View view_;
  DaemonId me_{};
  std::unordered_map<std::string, Seen> seen_;
  std::unordered_map<std::string, std::vector<Seen*>> by_service_;
  uint64_t turn_ = 0;
};

}  // namespace mosskeel
