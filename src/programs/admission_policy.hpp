#pragma once
// The way of a request: policies as plug-ins that register themselves, behind one interface.
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// What a policy may look at besides the request.
struct Situation {
  const Metadata& m;
  const Daemon* me;
  Millis now;
  bool in_touch, confirmed, stopping;
  size_t queued, running;
  bool proxied;
  /// Whether it would wait for a replica here, and how long by the measured pace, with urgent ones first.
  bool here;
  Millis wait, urgent_wait;
};

/// Why a request is refused; it has not run.
struct Refusal {
  uint32_t status;
  std::string reason;
  uint32_t retry_ms = 0;
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual int order() const = 0;
  virtual const char* name() const = 0;
  virtual std::optional<Refusal> judge(ProgramRequest& e, const Situation& s) const = 0;
};

/// All registered policies in their order.
const std::vector<const Policy*>& policies();

/// A static object of this type puts a policy into the registry.
struct Enrolled {
  explicit Enrolled(std::unique_ptr<Policy> p);
};

/// Which replica a request goes to.
class ReplicaSelector {
 public:
  /// The replica with a free place that suits best, or nothing; `busy` tells whether any would do later.
  const Replica* select_replica(const ProgramRequest& e, const Metadata& m, const Daemon& me, Millis now,
                                bool& any) const;
  void took(const std::string& replica, const ProgramRequest& e);
  void gave(const std::string& replica, const ProgramRequest& e);
  void back_off(const std::string& replica, Millis now);
  /// The share of a cold replica's places that may be used now.
  uint32_t usable_capacity(const Replica& r, const Metadata& m, const Daemon& me, Millis now) const;
  const std::map<std::string, uint32_t>& load() const { return load_; }

 private:
  std::map<std::string, uint32_t> load_, bulk_;
  std::map<std::string, Millis> backed_off_;
  mutable std::map<std::string, std::pair<Epoch, Millis>> cold_since_;
};

}  // namespace mosskeel
