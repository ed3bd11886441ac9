#pragma once
// A run of real controllers under a hollow fleet.
#include <fstream>

#include "local-cluster/fleet.hpp"
#include "scale/crew.hpp"
#include "scale/report.hpp"

namespace mosskeel::scale {

constexpr int real_stores = 3, real_fronts = 2;
constexpr Millis calm_patience = 900000, look = 50, rest_window = 20000, cut_window = 20000;

class Run {
 public:
  explicit Run(const FleetAsk& a);
  /// Plays everything; 0 if no invariant was broken.
  int play();

 private:
  void founding();
  void first_configuration();
  void at_rest(const std::string& step);
  void changes();
  void newcomer();
  void zone();
  void restarts();
  void region();
  void values();
  void put(const std::string& step, const std::string& figure, double x);
  void fail(const std::string& why);
  bool calm(size_t daemons);
  Millis until_calm(const std::string& what, size_t daemons);
  size_t all() const { return static_cast<size_t>(a_.plan.controllers + a_.plan.daemons); }
  /// When each hollow daemon knew the epoch, after `begun`; waits until all do.
  std::vector<double> in_force(Epoch e, Millis begun);
  Voice::Verdict one_change();
  void distribution(const std::string& step, std::vector<double> v);

  FleetAsk a_;
  local_cluster::Fleet cluster_;
  Voice voice_;
  std::vector<std::unique_ptr<Crew>> crews_;
  std::ofstream csv_, text_;
  std::vector<Curve> curves_;
  Revision promised_{};
  int broken_ = 0;
};

std::string numbers(int from, int to);
void wait(Millis ms);

}  // namespace mosskeel::scale
