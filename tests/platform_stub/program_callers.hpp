#pragma once
// Agents: programs of several turns with tools and sub-agents.
#include <deque>

#include "platform_stub/callers.hpp"

namespace mosskeel::platform_stub {

/// Runs programs. The thread of a program is a number of turns, each on top of the one before, with the use of two
/// tools between them; the first turn also starts two sub-agents of one turn each. All share the program's budget.
class ProgramCallers {
 public:
  ProgramCallers(Environment& environment, Callers& callers) : environment_(environment), callers_(callers) {}
  /// Starts a program that stays within its budget; some of those whose history is kept go on from an earlier turn.
  void start_program(bool is_history_kept);
  /// Starts a program that goes on until the status 402 says that its budget is used up.
  void start_runaway(bool is_history_kept);
  /// Sends a turn on top of one that never was; it may not succeed.
  void send_turn_on_unknown_turn();

 private:
  struct Program {
    std::string id;
    bool is_history_kept = true;
    uint64_t token_budget = 0;
    /// Threads that have not ended.
    int open_threads = 1;
    bool has_succeeded = true;
  };
  using ProgramPointer = std::shared_ptr<Program>;
  /// Where a thread of a program goes on.
  struct ThreadState {
    std::string session;
    std::string previous_turn;
    /// Turns behind the next one.
    int further_turns = 0;
  };

  void keep(const std::string& turn);
  ProgramPointer make_program(bool is_history_kept, uint64_t token_budget);
  std::shared_ptr<CallerRequest> make_turn(const Program& program, const std::string& previous_turn,
                                           const std::string& session);
  void send_turn(const ProgramPointer& program, const ThreadState& thread);
  void on_turn_done(const ProgramPointer& program, const ThreadState& thread, const RequestResult& result);
  void start_sub_agents(const ProgramPointer& program, const std::string& previous_turn);
  /// Sends a request to each tool and the thread's next turn once both have ended.
  void use_tools(const ProgramPointer& program, const ThreadState& next);
  void on_thread_done(Program& program, bool has_succeeded);
  void send_runaway_turn(const ProgramPointer& program, const std::string& previous_turn, int turns_sent);

  Environment& environment_;
  Callers& callers_;
  /// The last turns that succeeded and are kept.
  std::deque<std::string> kept_turns_;
};

}  // namespace mosskeel::platform_stub
