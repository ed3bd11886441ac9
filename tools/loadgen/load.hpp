#pragma once
// What the load generator asks, what it hears, and what it holds against the fleet.
#include <atomic>
#include <mutex>
#include <thread>

#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

struct Plan {
  std::vector<Address> controllers;
  std::string cell = "news", mix = "election", runs, report, control;
  std::vector<std::string> harm;
  uint64_t seed = 1;
  double rate = 5;
  int seconds = 20, settle = 0;
  uint64_t budget = 400, turn_limit = 40;
};

struct TurnSeen {
  std::string thread, key, input, output;
  bool success = false, not_run = false, spent = false;
};

/// Latencies of one kind of request, in milliseconds.
struct Series {
  std::vector<double> ms;
  double at(double share) const;
};

class Book {
 public:
  void violation(const std::string& what);
  void count(const std::string& what, uint64_t n = 1);
  void time(const std::string& what, double ms);
  std::string text() const;
  std::string json() const;
  size_t violations() const;
  uint64_t counted(const std::string& what) const;

 private:
  mutable std::mutex m_;
  std::vector<std::string> violations_;
  uint64_t violation_count_ = 0;
  std::map<std::string, uint64_t> counts_;
  std::map<std::string, Series> series_;
};

/// The front workers that the platform calls ready.
class Fronts {
 public:
  explicit Fronts(const std::vector<Address>& controllers);
  ~Fronts();
  Address any();

 private:
  void refresh();
  std::vector<Address> controllers_, ready_;
  std::mutex m_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Kills, freezes and restarts processes of a local cluster while the load runs; heals all at its end.
class Harm {
 public:
  Harm(const Plan& p, Book& b);
  ~Harm();

 private:
  void work();
  bool act(const std::string& what, const std::string& name);
  std::vector<std::string> victims();
  const Plan& plan_;
  Book& book_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

class Load {
 public:
  explicit Load(const Plan& p) : plan_(p), fronts_(p.controllers) {}
  /// Runs the whole plan; the exit code.
  int run();

 private:
  void program(uint64_t n);
  void turns(const std::string& program, const std::string& thread, int n, std::vector<TurnSeen>& seen, std::mutex& m);
  TurnSeen turn(const std::string& program, const std::string& thread, uint32_t settled,
                const std::vector<TurnSeen>& before);
  void tools(uint64_t n);
  void fetch(const std::string& path, const char* what, const char* cls);
  void tally(uint64_t n);
  void check_history(const std::string& program, const std::vector<TurnSeen>& seen);
  void check_runs();
  Plan plan_;
  Fronts fronts_;
  Book book_;
  std::mutex m_;
  std::map<std::string, std::vector<TurnSeen>> programs_;
  std::map<std::string, bool> not_run_;
};

uint64_t random();
double clock_ms();
void nap(Millis ms);

}  // namespace mosskeel::loadgen
