#include "platform_stub/program_callers.hpp"

namespace mosskeel::platform_stub {

namespace {

/// Tokens, more than all turns of a program produce.
constexpr uint64_t kAmpleBudget = 2000;
/// Tokens, used up by a few turns.
constexpr uint64_t kSmallBudget = 150;
/// Turns of a program's main thread behind the first one.
constexpr int kFurtherTurns = 2;
constexpr int kSubAgents = 2;
/// One program of this many goes on from an earlier turn.
constexpr uint64_t kContinuationRate = 4;
/// Later programs go on from one of the last turns, none of which is too old to be kept.
constexpr size_t kMaxKeptTurns = 200;
/// A runaway that is not stopped by then will not be.
constexpr int kMaxRunawayTurns = 16;

}  // namespace

void ProgramCallers::start_program(bool is_history_kept) {
  auto program = make_program(is_history_kept, kAmpleBudget);
  bool continues_earlier_turn =
      is_history_kept && !kept_turns_.empty() && environment_.random_below(kContinuationRate) == 0;
  ThreadState thread{.session = environment_.random_name(), .further_turns = kFurtherTurns};
  if (continues_earlier_turn)
    thread.previous_turn = kept_turns_[environment_.random_below(kept_turns_.size())];
  send_turn(program, thread);
}

void ProgramCallers::start_runaway(bool is_history_kept) {
  auto program = make_program(is_history_kept, kSmallBudget);
  send_runaway_turn(program, "", 0);
}

void ProgramCallers::send_turn_on_unknown_turn() {
  Program program;
  program.id = environment_.random_name();
  auto session = environment_.random_name();
  auto request = make_turn(program, "never-" + environment_.random_name(), session);
  request->on_done = [this](const RequestResult& result) {
    if (result.status == 200 || result.status == 402)
      environment_.checker.report_violation(result.last_attempt + " goes on from a turn that never was, with " +
                                            std::to_string(result.status));
  };
  callers_.send(request);
}

ProgramCallers::ProgramPointer ProgramCallers::make_program(bool is_history_kept, uint64_t token_budget) {
  auto program = std::make_shared<Program>();
  program->id = environment_.random_name();
  program->is_history_kept = is_history_kept;
  program->token_budget = token_budget;
  environment_.checker.set_token_budget(program->id, token_budget, CallerRequest{}.max_output_tokens);
  return program;
}

std::shared_ptr<CallerRequest> ProgramCallers::make_turn(const Program& program, const std::string& previous_turn,
                                                         const std::string& session) {
  auto request = std::make_shared<CallerRequest>();
  request->kind = program.is_history_kept ? RequestKind::turn : RequestKind::unkept_turn;
  request->route = program.is_history_kept ? "turn" : "brief";
  request->body = "turn " + environment_.random_name() + ";";
  if (program.is_history_kept)
    request->previous_turn = previous_turn;
  request->program = program.id;
  request->session = session;
  request->token_budget = program.token_budget;
  return request;
}

void ProgramCallers::send_turn(const ProgramPointer& program, const ThreadState& thread) {
  auto request = make_turn(*program, thread.previous_turn, thread.session);
  request->category = request->route;
  request->on_done = [this, program, thread](const RequestResult& result) {
    on_turn_done(program, thread, result);
  };
  callers_.send(request);
}

void ProgramCallers::on_turn_done(const ProgramPointer& program, const ThreadState& thread,
                                  const RequestResult& result) {
  if (result.status == 402)
    environment_.checker.report_violation("program " + program->id + " is rejected with 402 within its budget");
  const auto& turn = result.last_attempt;
  if (result.is_success && program->is_history_kept)
    keep(turn);
  if (!result.is_success || thread.further_turns == 0) {
    on_thread_done(*program, result.is_success);
    return;
  }
  if (thread.further_turns == kFurtherTurns)
    start_sub_agents(program, turn);
  use_tools(program, {thread.session, turn, thread.further_turns - 1});
}

void ProgramCallers::keep(const std::string& turn) {
  kept_turns_.push_back(turn);
  if (kept_turns_.size() > kMaxKeptTurns)
    kept_turns_.pop_front();
}

void ProgramCallers::start_sub_agents(const ProgramPointer& program, const std::string& previous_turn) {
  for (int i = 0; i < kSubAgents; ++i) {
    ++program->open_threads;
    send_turn(program, {.session = environment_.random_name(), .previous_turn = previous_turn});
  }
}

void ProgramCallers::use_tools(const ProgramPointer& program, const ThreadState& next) {
  const auto tools = {RequestKind::safe, RequestKind::unsafe};
  auto open_requests = std::make_shared<size_t>(tools.size());
  for (auto kind : tools) {
    auto request = std::make_shared<CallerRequest>();
    request->kind = kind;
    request->route = kind == RequestKind::safe ? "safe" : "unsafe";
    request->category = "tools";
    request->body = "tool " + environment_.random_name();
    request->on_done = [this, program, next, open_requests](const RequestResult&) {
      if (--*open_requests == 0)
        send_turn(program, next);
    };
    callers_.send(request);
  }
}

void ProgramCallers::on_thread_done(Program& program, bool has_succeeded) {
  program.has_succeeded = program.has_succeeded && has_succeeded;
  if (--program.open_threads == 0)
    environment_.served.record("programs", program.has_succeeded);
}

void ProgramCallers::send_runaway_turn(const ProgramPointer& program, const std::string& previous_turn,
                                       int turns_sent) {
  auto request = make_turn(*program, previous_turn, environment_.random_name());
  request->on_done = [this, program, previous_turn, turns_sent](const RequestResult& result) {
    if (result.status == 402) {
      environment_.served.record("runaways", true);
      return;
    }
    if (turns_sent + 1 == kMaxRunawayTurns) {
      environment_.checker.report_violation("program " + program->id + " runs away, and nothing stops it");
      return;
    }
    bool is_turn_kept = result.is_success && program->is_history_kept;
    send_runaway_turn(program, is_turn_kept ? result.last_attempt : previous_turn, turns_sent + 1);
  };
  callers_.send(request);
}

}  // namespace mosskeel::platform_stub
