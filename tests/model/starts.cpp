// The scripts that lead to the starts of searches.
#include "model/starts.hpp"

#include "consensus/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::model {
namespace {

/// Actions; a script that needs more has gone wrong.
constexpr int kMostScriptActions = 6000;
/// How far the clocks move in scripts when nothing is in flight: finer than any time-out, and coarser with leases.
constexpr Duration kFineStep = 100ms;
constexpr Duration kLeaseStep = 150ms;
constexpr uint32_t kCoreSize = 3;
/// The nodes of the first three controllers, and of the newcomer.
constexpr size_t kFirst = 0;
constexpr size_t kSecond = 1;
constexpr size_t kThird = 2;
constexpr size_t kNewcomer = 3;

const Addresses kSeeds{"c1", "c2", "c3"};

Order order(const std::string& id, const std::string& cell) {
  return {id, ApplyConfiguration{Revision{0}, {{Cell{cell, 1000, 100, 60000, {{"chat", "model", {}}}}}}}};
}

/// Two orders on one base; each is sent by its index.
void submit_two_orders(Cluster& cluster) {
  cluster.submit(order("first", "a"));
  cluster.submit(order("second", "b"));
}

void send_order(Cluster& cluster, size_t node, size_t index) {
  cluster.apply({Kind::order, node, index, {}});
}

void restart(Cluster& cluster, size_t node) {
  cluster.apply({Kind::restart, node, 0, {}});
}

void wipe(Cluster& cluster, size_t node) {
  cluster.apply({Kind::wipe, node, 0, {}});
}

bool have_same_epoch(const Cluster& cluster, size_t nodes) {
  for (size_t i = 0; i < nodes; ++i)
    if (!cluster.view(i)->cluster || cluster.view(i)->epoch != cluster.view(0)->epoch)
      return false;
  return true;
}

/// Goes on without trouble until the condition holds; the script has gone wrong if it never does.
void must_reach(Cluster& cluster, const char* what, const std::function<bool(const Cluster&)>& done) {
  if (!settle(cluster, kMostScriptActions, done))
    throw std::runtime_error(std::string("the script of a start did not reach: ") + what);
}

/// Sets options for a script, and puts back at its end those that only the script had changed.
class ScriptOptions {
 public:
  ScriptOptions(Cluster& cluster, Duration quiet_step, bool leases) : cluster_(cluster), kept_(cluster.options()) {
    cluster.options().fault = Fault::none;
    cluster.options().quiet_step = quiet_step;
    cluster.options().leases = leases;
  }
  ScriptOptions(const ScriptOptions&) = delete;
  ScriptOptions& operator=(const ScriptOptions&) = delete;
  ~ScriptOptions() { cluster_.options() = kept_; }

 private:
  Cluster& cluster_;
  Options kept_;
};

void add_seeds(Cluster& cluster) {
  for (const auto& address : kSeeds)
    cluster.add(address, kSeeds, kCoreSize);
}

void add_newcomer(Cluster& cluster) {
  cluster.add("c4", kSeeds, kCoreSize);
}

Cluster founded(Options options) {
  Cluster cluster(options);
  ScriptOptions script(cluster, kFineStep, false);
  add_seeds(cluster);
  must_reach(cluster, "founding",
             [](const auto& state) { return have_same_epoch(state, kCoreSize) && state.in_flight() == 0; });
  return cluster;
}

/// The first request for a vote that is on its way to the second controller.
std::optional<size_t> find_vote_request(const Cluster& cluster) {
  for (size_t i = 0; i < cluster.in_flight(); ++i) {
    const auto& message = cluster.message(i);
    if (std::holds_alternative<Accept>(message.body) && message.to == kSeeds[kSecond])
      return i;
  }
  return std::nullopt;
}

}  // namespace

bool settle(Cluster& cluster, int actions, const std::function<bool(const Cluster&)>& done) {
  for (int i = 0; i < actions && !done(cluster); ++i)
    cluster.apply(cluster.enabled().front());
  return done(cluster);
}

Cluster before_founding(Options options) {
  options.quiet_step = kFineStep;
  Cluster cluster(options);
  ScriptOptions script(cluster, kFineStep, false);
  add_seeds(cluster);
  add_newcomer(cluster);
  must_reach(cluster, "age", [](const Cluster& state) {
    return state.clock(kFirst) - kProcessClockStart >= kFoundingDelay && state.in_flight() == 0;
  });
  cluster.submit(order("first", "a"));
  return cluster;
}

Cluster after_founding(Options options) {
  auto cluster = founded(options);
  submit_two_orders(cluster);
  for (size_t i = 0; i < cluster.size(); ++i)
    restart(cluster, i);
  add_newcomer(cluster);
  send_order(cluster, kFirst, 0);
  send_order(cluster, kSecond, 1);
  cluster.budget = {};
  return cluster;
}

Cluster open_proposal(Options options) {
  auto cluster = founded(options);
  submit_two_orders(cluster);
  for (size_t i = 0; i < cluster.size(); ++i)
    restart(cluster, i);
  send_order(cluster, kFirst, 0);
  must_reach(cluster, "a vote under way", [](const Cluster& state) { return find_vote_request(state).has_value(); });
  cluster.apply({Kind::deliver, kSecond, *find_vote_request(cluster), {}});
  while (cluster.in_flight())
    cluster.apply({Kind::lose, 0, 0, {}});
  restart(cluster, kFirst);
  send_order(cluster, kThird, 1);
  cluster.budget = {};
  return cluster;
}

Cluster member_replaced(Options options) {
  options.leases = true;
  options.quiet_step = kLeaseStep;
  Cluster cluster(options);
  ScriptOptions script(cluster, kLeaseStep, true);
  add_seeds(cluster);
  must_reach(cluster, "founding", [](const auto& state) { return have_same_epoch(state, kCoreSize); });
  add_newcomer(cluster);
  must_reach(cluster, "newcomer", [](const auto& state) {
    return have_same_epoch(state, kCoreSize + 1) && state.view(kFirst)->find(state.incarnation(kNewcomer));
  });
  cluster.budget.wipes = 1;
  auto lost = cluster.incarnation(kThird);
  wipe(cluster, kThird);
  must_reach(cluster, "a member down",
             [&](const Cluster& state) { return state.view(kFirst)->find(lost)->state == DaemonState::down; });
  submit_two_orders(cluster);
  send_order(cluster, kFirst, 0);
  send_order(cluster, kSecond, 1);
  cluster.budget = {};
  return cluster;
}

Cluster before_refounding(Options options) {
  options.quiet_step = kLeaseStep;
  auto cluster = founded(options);
  ScriptOptions script(cluster, kLeaseStep, true);
  submit_two_orders(cluster);
  send_order(cluster, kFirst, 0);
  must_reach(cluster, "an acknowledgement", [](const auto& state) { return state.observer().acknowledged() == 1; });
  cluster.budget.wipes = 2;
  wipe(cluster, kSecond);
  wipe(cluster, kThird);
  auto began = cluster.clock(kFirst);
  must_reach(cluster, "silence", [&](const auto& state) { return state.clock(kFirst) - began >= kCoreLossTimeout; });
  cluster.budget = {};
  cluster.budget.returns = 1;
  return cluster;
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
