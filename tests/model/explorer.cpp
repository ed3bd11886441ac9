#include "model/explorer.hpp"

#include <ctime>
#include <unordered_set>

namespace mosskeel::model {
namespace {

double processor_seconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

class Search {
 public:
  explicit Search(const Bounds& b) : bounds_(b), began_(processor_seconds()) {}

  void visit(Cluster& state, int depth, int deviations) {
    ++report_.steps;
    if (!state.observer().broken().empty())
      return stop(state);
    if (!fresh(state, depth, deviations))
      return;
    report_.acknowledged = std::max(report_.acknowledged, state.observer().acknowledged());
    report_.rejected = std::max(report_.rejected, state.observer().rejected());
    if (depth == 0)
      return;
    auto actions = state.enabled();
    for (size_t i = 0; i < actions.size() && report_.broken.empty(); ++i) {
      if (i > 0 && deviations == 0)
        break;
      if (over())
        return;
      trace_.push_back(actions[i]);
      bool last = i + 1 == actions.size() || deviations == 0;
      auto child = last ? std::move(state) : state;
      child.apply(actions[i]);
      visit(child, depth - 1, i > 0 && deviations > 0 ? deviations - 1 : deviations);
      trace_.pop_back();
    }
  }

  Report take() {
    report_.states = seen_.size();
    report_.runs = 1;
    return std::move(report_);
  }

 private:
  /// A state that was visited with as much depth left needs no second visit.
  bool fresh(const Cluster& state, int depth, int deviations) {
    auto key = state.fingerprint() * 31 + static_cast<uint64_t>(deviations + 1);
    auto [i, first] = seen_.emplace(key, depth);
    if (first)
      return true;
    if (i->second >= depth)
      return false;
    i->second = depth;
    return true;
  }
  bool over() {
    bool full = bounds_.states && seen_.size() >= bounds_.states;
    if (!full && bounds_.seconds > 0 && report_.steps % 64 == 0)
      late_ = processor_seconds() - began_ > bounds_.seconds;
    if (full || late_)
      report_.complete = false;
    return full || late_;
  }
  void stop(const Cluster& state) {
    report_.broken = state.observer().broken();
    report_.trace = trace_;
    report_.complete = false;
  }

  Bounds bounds_;
  double began_;
  bool late_ = false;
  Report report_;
  Trace trace_;
  std::unordered_map<uint64_t, int> seen_;
};

/// Mostly what happens without trouble, at times anything else.
size_t choose(std::mt19937_64& random, size_t count) {
  if (count == 1 || random() % 10 < 6)
    return 0;
  return random() % count;
}

}  // namespace

Report explore(const Cluster& start, const Bounds& bounds) {
  Search search(bounds);
  auto state = start;
  search.visit(state, bounds.depth, bounds.deviations);
  return search.take();
}

Report walk(const Cluster& start, uint64_t first_seed, uint64_t seeds, int steps, double seconds) {
  Report report;
  std::unordered_set<uint64_t> seen;
  auto began = processor_seconds();
  for (uint64_t seed = first_seed; seed < first_seed + seeds && report.broken.empty(); ++seed) {
    if (seconds > 0 && processor_seconds() - began > seconds) {
      report.complete = false;
      break;
    }
    std::mt19937_64 random(seed);
    auto state = start;
    Trace trace;
    for (int i = 0; i < steps && state.observer().broken().empty(); ++i) {
      auto actions = state.enabled();
      trace.push_back(actions[choose(random, actions.size())]);
      state.apply(trace.back());
      seen.insert(state.fingerprint());
      ++report.steps;
    }
    ++report.runs;
    report.acknowledged = std::max(report.acknowledged, state.observer().acknowledged());
    report.rejected = std::max(report.rejected, state.observer().rejected());
    if (state.observer().broken().empty())
      continue;
    report.broken = state.observer().broken();
    report.trace = trace;
  }
  report.states = seen.size();
  return report;
}

std::optional<Cluster> replay(const Cluster& start, const Trace& trace) {
  auto state = start;
  for (auto& a : trace) {
    if (!state.possible(a))
      return std::nullopt;
    if (!state.observer().broken().empty())
      return state;
    state.apply(a);
  }
  return state;
}

Trace shorten(const Cluster& start, Trace trace) {
  for (size_t length = trace.size() / 2; length > 0; length /= 2) {
    for (size_t i = 0; i + length <= trace.size();) {
      Trace less(trace.begin(), trace.begin() + static_cast<ptrdiff_t>(i));
      less.insert(less.end(), trace.begin() + static_cast<ptrdiff_t>(i + length), trace.end());
      auto end = replay(start, less);
      if (end && !end->observer().broken().empty())
        trace = std::move(less);
      else
        ++i;
    }
  }
  return trace;
}

}  // namespace mosskeel::model
