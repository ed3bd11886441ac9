#pragma once
// Drives a fleet with a deployment's mix of requests, and checks the answers for what must never happen.
#include <mutex>

#include "load_report.hpp"
#include "plan.hpp"
#include "ready_gateways.hpp"

namespace mosskeel::loadgen {

/// What one caller knows of one of its turns.
struct TurnResult {
  std::string thread;
  std::string key;
  std::string input;
  std::string output;
  bool success = false;
  /// Every answer reported that the turn had not run. Where neither this nor `success` holds, the outcome is unknown.
  bool not_run = false;
  /// The program's budget is spent.
  bool budget_spent = false;
};
using TurnResults = std::vector<TurnResult>;

/// The results of one program, whose threads add to it at the same time.
struct ProgramResults {
  std::mutex mutex;
  TurnResults turns;
};

/// One answer of the fleet that is not a success, as far as the caller goes by it.
struct Failure {
  /// "no", "unknown" or empty, as the answer reports whether the request ran.
  std::string ran;
  std::string reason;
  Duration retry_after{};

  /// The outcome of an earlier attempt is unknown for good: the request will not be run again.
  bool is_final() const;
};

/// One attempt at a turn: its request and what has come of the answer.
struct TurnAttempt;

/// One run of the load. Each program and each of its threads has a thread of its own.
class LoadGenerator {
 public:
  explicit LoadGenerator(const Plan& plan) : plan_(plan), gateways_(plan.controllers) {}
  /// Runs the whole plan; 0 if nothing happened that must not.
  int run();

 private:
  // Programs and their turns (turns.cpp).
  void run_program(uint64_t number);
  void run_turns(const std::string& program, const std::string& thread, int count, ProgramResults& results);
  TurnResult run_turn(const std::string& program, const std::string& thread, const TurnResults& earlier);
  void send_attempt(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                    TurnAttempt& attempt);
  void check_success(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                     const TurnAttempt& attempt);
  void check_failure(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                     const TurnAttempt& attempt, const Failure& failure);
  void count_given_up(const TurnResult& turn);

  // Calls of the application's tools between turns (tool_calls.cpp).
  void run_tool_calls(uint64_t number);
  void get(const std::string& path, const std::string& what, const std::string& request_class);
  void check_body(const std::string& path, const std::string& body);
  void post_count(uint64_t number);

  // What is checked when all have ended (checks.cpp).
  void check_history(const std::string& program, const TurnResults& turns);
  bool check_history_once(const std::string& program, const TurnResults& turns, std::string& reason);
  void check_runs();
  std::map<std::string, int> read_runs() const;

  void run_load();
  void write_report();
  /// The HTTP address of a ready gateway; waits a moment and gives an empty one if there is none.
  Address ready_gateway();
  void note_not_run(const std::string& request);
  void count_attempt(const std::string& what, long status, const std::string& ran);

  Plan plan_;
  ReadyGateways gateways_;
  LoadReport report_;
  std::mutex mutex_;
  std::map<std::string, TurnResults> turns_by_program_;
  /// Requests that the fleet reported as not run, as the replicas' run files name them.
  std::set<std::string> not_run_;
};

/// What the body of a failed answer reports.
Failure read_failure(const std::string& body);

/// A caller comes back so often before it gives up.
constexpr int kAttemptLimit = 40;
/// Where the answer names no other time.
constexpr Duration kDefaultRetryDelay = 300ms;

}  // namespace mosskeel::loadgen
