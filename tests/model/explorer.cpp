#include "model/explorer.hpp"

#include <ctime>
#include <random>
#include <unordered_set>

namespace mosskeel::model {
namespace {

/// The processor time is looked at once in so many steps, since that costs a system call.
constexpr uint64_t kStepsBetweenClockReads = 64;
/// Of ten choices in a walk so many are what happens in a world without trouble.
constexpr uint64_t kUsualChoicesOfTen = 6;
/// Keeps fingerprints of different counts of deviations apart.
constexpr uint64_t kFingerprintFactor = 31;

double processor_seconds() {
  constexpr double nanosecond = 1e-9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

bool is_broken(const Cluster& state) {
  return !state.observer().broken().empty();
}

void note_orders(Report& report, const Cluster& state) {
  report.acknowledged = std::max(report.acknowledged, state.observer().acknowledged());
  report.rejected = std::max(report.rejected, state.observer().rejected());
}

/// A depth-first search. It ends at the first broken invariant and then holds the trace to it.
class Search {
 public:
  explicit Search(const Bounds& bounds) : bounds_(bounds), began_(processor_seconds()) {}

  /// May move the state away.
  void visit(Cluster& state, int depth, int deviations) {
    ++report_.steps;
    if (is_broken(state))
      return stop(state);
    if (!is_fresh(state, depth, deviations))
      return;
    note_orders(report_, state);
    if (depth > 0)
      visit_successors(state, depth, deviations);
  }

  Report take() {
    report_.states = seen_.size();
    report_.runs = 1;
    return std::move(report_);
  }

 private:
  /// The first action is what happens without trouble; each other one is a deviation.
  void visit_successors(Cluster& state, int depth, int deviations) {
    auto actions = state.enabled();
    for (size_t i = 0; i < actions.size() && report_.broken.empty(); ++i) {
      bool deviates = i > 0;
      if (deviates && deviations == 0)
        break;
      if (is_over())
        return;
      trace_.push_back(actions[i]);
      bool is_last = i + 1 == actions.size() || deviations == 0;
      // The last action ends the loop, so that the state is not used again.
      auto successor = is_last ? std::move(state) : state;  // NOLINT(bugprone-use-after-move)
      successor.apply(actions[i]);
      visit(successor, depth - 1, deviates && deviations > 0 ? deviations - 1 : deviations);
      trace_.pop_back();
    }
  }

  /// A state that was visited with as much depth left needs no second visit.
  bool is_fresh(const Cluster& state, int depth, int deviations) {
    auto key = state.fingerprint() * kFingerprintFactor + static_cast<uint64_t>(deviations + 1);
    auto [visited, first] = seen_.emplace(key, depth);
    if (first)
      return true;
    if (visited->second >= depth)
      return false;
    visited->second = depth;
    return true;
  }

  bool is_over() {
    bool is_full = bounds_.states && seen_.size() >= bounds_.states;
    if (!is_full && bounds_.seconds > 0 && report_.steps % kStepsBetweenClockReads == 0)
      is_late_ = processor_seconds() - began_ > bounds_.seconds;
    if (is_full || is_late_)
      report_.complete = false;
    return is_full || is_late_;
  }

  void stop(const Cluster& state) {
    report_.broken = state.observer().broken();
    report_.trace = trace_;
    report_.complete = false;
  }

  Bounds bounds_;
  double began_;
  bool is_late_ = false;
  Report report_;
  Trace trace_;
  /// The greatest depth that was left when a state was visited, by its fingerprint.
  std::unordered_map<uint64_t, int> seen_;
};

/// Mostly what happens without trouble, at times anything else.
size_t choose(std::mt19937_64& random, size_t count) {
  if (count == 1 || random() % 10 < kUsualChoicesOfTen)
    return 0;
  return random() % count;
}

/// One walk; it ends early where an invariant is broken.
void walk_once(const Cluster& start, uint64_t seed, int steps, Report& report, std::unordered_set<uint64_t>& seen) {
  std::mt19937_64 random(seed);
  auto state = start;
  Trace trace;
  for (int i = 0; i < steps && !is_broken(state); ++i) {
    auto actions = state.enabled();
    trace.push_back(actions[choose(random, actions.size())]);
    state.apply(trace.back());
    seen.insert(state.fingerprint());
    ++report.steps;
  }
  ++report.runs;
  note_orders(report, state);
  if (!is_broken(state))
    return;
  report.broken = state.observer().broken();
  report.trace = trace;
}

Trace without(const Trace& trace, size_t first, size_t length) {
  auto begin = trace.begin() + static_cast<ptrdiff_t>(first);
  Trace rest(trace.begin(), begin);
  rest.insert(rest.end(), begin + static_cast<ptrdiff_t>(length), trace.end());
  return rest;
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
    walk_once(start, seed, steps, report, seen);
  }
  report.states = seen.size();
  return report;
}

std::optional<Cluster> replay(const Cluster& start, const Trace& trace) {
  auto state = start;
  for (const auto& action : trace) {
    if (!state.possible(action))
      return std::nullopt;
    if (is_broken(state))
      return state;
    state.apply(action);
  }
  return state;
}

/// Takes parts of halving lengths away, as long as the rest still breaks an invariant.
Trace shorten(const Cluster& start, Trace trace) {
  for (size_t length = trace.size() / 2; length > 0; length /= 2) {
    for (size_t i = 0; i + length <= trace.size();) {
      auto shorter = without(trace, i, length);
      auto end = replay(start, shorter);
      if (end && is_broken(*end))
        trace = std::move(shorter);
      else
        ++i;
    }
  }
  return trace;
}

}  // namespace mosskeel::model
