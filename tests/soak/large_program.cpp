#include "soak/large_program.hpp"

#include <algorithm>

namespace mosskeel::soak {

namespace {

/// Between a turn that was not served and its next try.
constexpr Duration kRetryInterval = 300ms;
/// Input of a turn that only goes on.
constexpr size_t kSmallInputBytes = 20;
/// Tokens; no turn is refused for its program's budget.
constexpr uint64_t kUnlimitedBudget = 1u << 30;
/// Few, so that turns are short.
constexpr uint64_t kOutputTokens = 8;

}  // namespace

LargeProgram::LargeProgram(FleetUnderTest& fleet, ProgramSize size)
    : fleet_(fleet), size_(size), id_(fleet.environment.random_name()) {
  for (int line = 0; line < size.lines; ++line)
    lines_.push_back({.session = fleet.environment.random_name()});
}

void LargeProgram::send_turn(Line& line, size_t input_bytes, std::function<void(bool is_served)> on_done) {
  line.is_busy = true;
  auto request = std::make_shared<platform_stub::CallerRequest>();
  request->kind = platform_stub::RequestKind::turn;
  request->route = "turn";
  request->category = "large";
  request->program = id_;
  request->session = line.session;
  request->previous_turn = line.last_turn;
  request->token_budget = kUnlimitedBudget;
  request->max_output_tokens = kOutputTokens;
  request->body = "turn " + fleet_.environment.random_name() + ";";
  request->body.resize(std::max(request->body.size(), input_bytes), 'x');
  request->on_done = [&line, on_done = std::move(on_done)](const platform_stub::RequestResult& result) {
    line.is_busy = false;
    if (result.is_success) {
      line.last_turn = result.last_attempt;
      ++line.served_turns;
    }
    on_done(result.is_success);
  };
  fleet_.callers.send(request);
}

void LargeProgram::build_line(Line& line) {
  if (line.served_turns >= size_.turns_a_line)
    return;
  send_turn(line, size_.input_bytes, [this, &line](bool is_served) {
    auto pause = is_served ? Duration{} : kRetryInterval;
    fleet_.environment.loop.run_after(pause, [this, &line] { build_line(line); });
  });
}

bool LargeProgram::build(Duration time) {
  for (auto& line : lines_)
    build_line(line);
  return fleet_.run_until(time, [&] {
    return std::all_of(lines_.begin(), lines_.end(),
                       [&](const Line& line) { return line.served_turns >= size_.turns_a_line; });
  });
}

void LargeProgram::continue_line_once(size_t line) {
  if (!lines_[line].is_busy)
    send_turn(lines_[line], kSmallInputBytes, [](bool) {});
}

bool LargeProgram::continue_line(size_t line, Duration time) {
  auto end = monotonic_now() + time;
  bool is_served = false;
  while (!is_served && monotonic_now() < end) {
    bool is_done = false;
    send_turn(lines_[line], kSmallInputBytes, [&](bool served) {
      is_served = served;
      is_done = true;
    });
    // Every request ends by its own deadlines.
    while (!is_done)
      fleet_.run_for(kRetryInterval / 10);
    if (!is_served)
      fleet_.run_for(kRetryInterval);
  }
  return is_served;
}

}  // namespace mosskeel::soak
