#include "model/starts.hpp"
#include "consensus/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::model {
namespace {

constexpr int patience = 6000;  // actions; a script that needs more has gone wrong

const Addresses seeds{"c1", "c2", "c3"};

Order order(const std::string& id, const std::string& cell) {
  return {id, ApplyConfiguration{Revision{0}, {{Cell{cell, 1000, 100, 60000, {{"chat", "model", {}}}}}}}};
}

bool same_epoch(const Cluster& c, size_t nodes) {
  for (size_t i = 0; i < nodes; ++i)
    if (!c.view(i)->cluster || c.view(i)->epoch != c.view(0)->epoch)
      return false;
  return true;
}

void need(bool reached, const char* what) {
  if (!reached)
    throw std::runtime_error(std::string("the script of a start didn't reach: ") + what);
}

/// Puts back the options that only the script had changed.
class Script {
 public:
  Script(Cluster& c, Duration quiet_step, bool leases) : cluster_(c), kept_(c.options()) {
    c.options().fault = Fault::none;
    c.options().quiet_step = quiet_step;
    c.options().leases = leases;
  }
  ~Script() { cluster_.options() = kept_; }

 private:
  Cluster& cluster_;
  Options kept_;
};

Cluster founded(Options o) {
  Cluster c(o);
  Script s(c, 100ms, false);
  for (auto& a : seeds)
    c.add(a, seeds, 3);
  need(settle(c, patience, [](auto& x) { return same_epoch(x, 3) && x.in_flight() == 0; }), "founding");
  return c;
}

}  // namespace

bool settle(Cluster& c, int actions, const std::function<bool(const Cluster&)>& done) {
  for (int i = 0; i < actions && !done(c); ++i)
    c.apply(c.enabled().front());
  return done(c);
}

Cluster before_founding(Options o) {
  o.quiet_step = 100ms;
  Cluster c(o);
  Script s(c, 100ms, false);
  for (auto& a : seeds)
    c.add(a, seeds, 3);
  c.add("c4", seeds, 3);
  auto age = [](const Cluster& x) {
    return x.clock(0) - kProcessClockStart;
  };
  need(settle(c, patience, [&](auto& x) { return age(x) >= kFoundingDelay && x.in_flight() == 0; }), "age");
  c.submit(order("first", "a"));
  return c;
}

Cluster after_founding(Options o) {
  auto c = founded(o);
  c.submit(order("first", "a"));
  c.submit(order("second", "b"));
  for (size_t i = 0; i < c.size(); ++i)
    c.apply({Kind::restart, i, 0, {}});
  c.add("c4", seeds, 3);
  c.apply({Kind::order, 0, 0, {}});
  c.apply({Kind::order, 1, 1, {}});
  c.budget = {};
  return c;
}

Cluster open_proposal(Options o) {
  auto c = founded(o);
  c.submit(order("first", "a"));
  c.submit(order("second", "b"));
  for (size_t i = 0; i < c.size(); ++i)
    c.apply({Kind::restart, i, 0, {}});
  c.apply({Kind::order, 0, 0, {}});
  auto voting = [](const Cluster& x) {
    for (size_t i = 0; i < x.in_flight(); ++i)
      if (std::holds_alternative<Accept>(x.message(i).body) && x.message(i).to == "c2")
        return true;
    return false;
  };
  need(settle(c, patience, voting), "a vote under way");
  for (size_t i = 0; i < c.in_flight(); ++i)
    if (std::holds_alternative<Accept>(c.message(i).body) && c.message(i).to == "c2") {
      c.apply({Kind::deliver, 1, i, {}});
      break;
    }
  while (c.in_flight())
    c.apply({Kind::lose, 0, 0, {}});
  c.apply({Kind::restart, 0, 0, {}});
  c.apply({Kind::order, 2, 1, {}});
  c.budget = {};
  return c;
}

Cluster member_replaced(Options o) {
  o.leases = true;
  o.quiet_step = 150ms;
  Cluster c(o);
  Script s(c, 150ms, true);
  for (auto& a : seeds)
    c.add(a, seeds, 3);
  need(settle(c, patience, [](auto& x) { return same_epoch(x, 3); }), "founding");
  c.add("c4", seeds, 3);
  need(settle(c, patience, [](auto& x) { return same_epoch(x, 4) && x.view(0)->find(x.incarnation(3)); }), "newcomer");
  c.budget.wipes = 1;
  auto lost = c.incarnation(2);
  c.apply({Kind::wipe, 2, 0, {}});
  auto down = [&](const Cluster& x) {
    return x.view(0)->find(lost)->state == DaemonState::down;
  };
  need(settle(c, patience, down), "a member down");
  c.submit(order("first", "a"));
  c.submit(order("second", "b"));
  c.apply({Kind::order, 0, 0, {}});
  c.apply({Kind::order, 1, 1, {}});
  c.budget = {};
  return c;
}

Cluster before_refounding(Options o) {
  o.quiet_step = 150ms;
  auto c = founded(o);
  Script s(c, 150ms, true);
  c.submit(order("first", "a"));
  c.submit(order("second", "b"));
  c.apply({Kind::order, 0, 0, {}});
  need(settle(c, patience, [](auto& x) { return x.observer().acknowledged() == 1; }), "an acknowledgement");
  c.budget.wipes = 2;
  c.apply({Kind::wipe, 1, 0, {}});
  c.apply({Kind::wipe, 2, 0, {}});
  auto began = c.clock(0);
  need(settle(c, patience, [&](auto& x) { return x.clock(0) - began >= kCoreLossTimeout; }), "silence");
  c.budget = {};
  c.budget.returns = 1;
  return c;
}

const std::vector<Start>& starts() {
  static const std::vector<Start> all{{"before-founding", before_founding},
                                      {"after-founding", after_founding},
                                      {"open-proposal", open_proposal},
                                      {"member-replaced", member_replaced},
                                      {"before-refounding", before_refounding}};
  return all;
}

}  // namespace mosskeel::model
