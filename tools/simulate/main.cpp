// Plays many seeds of the simulated days; prints those that fail and how to replay them.
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include "simulation/scenarios.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  int seeds = 0, jobs = 4, notes = 0, reasons = 0;
  long from = 1;
  char* only = nullptr;
  poptOption table[] = {{"seeds", 'n', POPT_ARG_INT, &seeds, 0, "how many seeds each; 0 runs until stopped", "N"},
                        {"from", 'f', POPT_ARG_LONG, &from, 0, "the first seed", "SEED"},
                        {"scenario", 's', POPT_ARG_STRING, &only, 0, "only this scenario", "NAME"},
                        {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
                        {"notes", 0, POPT_ARG_NONE, &notes, 0, "print every message and event (one seed)", nullptr},
                        {"reasons", 0, POPT_ARG_NONE, &reasons, 0, "print why outcomes were unknown", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("simulate", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "simulate: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  auto all = sim::scenarios();
  if (only)
    all = {only};
  std::atomic<long> next{0}, failed{0}, played{0};
  std::mutex m;
  std::map<std::string, sim::Verdict> sum;
  auto work = [&] {
    while (true) {
      auto k = next++;
      auto seed = from + k / static_cast<long>(all.size());
      if (seeds && seed >= from + seeds)
        return;
      auto& s = all[static_cast<size_t>(k) % all.size()];
      auto v = sim::play(s, static_cast<uint64_t>(seed), notes);
      std::lock_guard l(m);
      ++played;
      if (notes)
        for (auto& x : v.notes)
          printf("%s\n", x.c_str());
      auto& t = sum[s];
      t.successes += v.successes, t.refusals += v.refusals, t.unknowns += v.unknowns, t.resumed += v.resumed;
      for (auto& [r, n] : v.reasons)
        t.reasons[r] += n;
      t.exposed.insert(t.exposed.end(), v.exposed.begin(), v.exposed.end());
      t.messages += v.messages, t.syncs += v.syncs;
      if (v.failures.empty())
        continue;
      ++failed;
      printf("FAILED %s seed %ld; replay: simulate -s %s -f %ld -n 1 --notes\n", s.c_str(), seed, s.c_str(), seed);
      for (auto& f : v.failures)
        printf("  %s\n", f.c_str());
      fflush(stdout);
    }
  };
  std::vector<std::thread> v;
  for (int i = 0; i < jobs; ++i)
    v.emplace_back(work);
  for (auto& t : v)
    t.join();
  for (auto& [s, t] : sum)
    printf("%-10s successes %llu refusals %llu unknown %llu read back %llu messages %llu syncs %llu\n", s.c_str(),
           (unsigned long long)t.successes, (unsigned long long)t.refusals, (unsigned long long)t.unknowns,
           (unsigned long long)t.resumed, (unsigned long long)t.messages, (unsigned long long)t.syncs);
  for (auto& [s, t] : sum) {
    if (t.exposed.empty())
      continue;
    std::sort(t.exposed.begin(), t.exposed.end());
    auto at = [&](size_t percent) {
      return static_cast<long long>(t.exposed[(t.exposed.size() - 1) * percent / 100]);
    };
    printf("%-10s ms on too few copies: %zu losses, half %lld, nine tenths %lld, 99 of 100 %lld, most %lld\n",
           s.c_str(), t.exposed.size(), at(50), at(90), at(99), at(100));
  }
  if (reasons)
    for (auto& [s, t] : sum)
      for (auto& [r, n] : t.reasons)
        printf("%-10s %6llu %s\n", s.c_str(), (unsigned long long)n, r.c_str());
  printf("%ld played, %ld failed\n", played.load(), failed.load());
  return failed ? 1 : 0;
}
