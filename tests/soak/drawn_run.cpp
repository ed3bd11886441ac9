#include "soak/drawn_run.hpp"

#include <algorithm>
#include <cstdio>

namespace mosskeel::soak {

namespace {

using platform_stub::RequestKind;

/// The share of the requests that has to be served: the gate of a deployment asks for 40%.
constexpr double kRequiredShare = 0.4;
constexpr Duration kSampleInterval = 1000ms;
constexpr Duration kBuildTimeout = 60000ms;
/// Longer than the longest disturbance, a stop and its start.
constexpr Duration kFaultTimeout = 30000ms;

constexpr int kLargePrograms = 2;
constexpr size_t kMaxLines = 40;
constexpr size_t kMaxTurnsALine = 3;
/// Sizes of turns' inputs that are drawn from: the deployments' largest, and the largest that a request may have as far
/// as the bound of a history allows it.
constexpr size_t kInputBytes[] = {100, 2000, 31000, 250000, 1000000};
/// All of a program's inputs together; half of the largest history.
constexpr size_t kMaxProgramBytes = 8u << 20;

ProgramSize draw_size(platform_stub::Environment& environment) {
  ProgramSize size;
  size.lines = static_cast<int>(1 + environment.random_below(kMaxLines));
  size.turns_a_line = static_cast<int>(1 + environment.random_below(kMaxTurnsALine));
  size.input_bytes = kInputBytes[environment.random_below(std::size(kInputBytes))];
  while (size.total_bytes() > kMaxProgramBytes)
    size.lines = std::max(1, size.lines / 2);
  return size;
}

}  // namespace

DrawnRun::DrawnRun(FleetUnderTest& fleet, RunRecord& record, RunReport& report, DrawnRunOptions options)
    : fleet_(fleet),
      record_(record),
      report_(report),
      options_(std::move(options)),
      faults_(fleet, record, options_.seed, options_.only) {
  fleet_.environment.on_attempt_over = [this](const platform_stub::AttemptReport& attempt) {
    report_.on_attempt_over(attempt);
    char line[200];
    snprintf(line, sizeof line, "attempt %s on %s at %s, sent at %.3f: status %u, %s, %s", attempt.attempt.c_str(),
             attempt.route.c_str(), attempt.gateway.c_str(), record_.seconds(attempt.sent_at), attempt.status,
             attempt.is_complete ? "complete" : "NOT complete", attempt.was_executed ? "executed" : "not executed");
    record_.write(line);
  };
}

void DrawnRun::play() {
  grow_configuration();
  build_large_programs();
  auto end = monotonic_now() + options_.duration;
  fleet_.environment.repeat(kSampleInterval, end, [this] { report_.sample(fleet_.machines); });
  begin_traffic(end);
  begin_kept_connections(end);
  begin_programs(end);
  faults_.begin(end);
  fleet_.run_for(options_.duration);
  if (!fleet_.run_until(kFaultTimeout, [this] { return faults_.is_idle(); }))
    fleet_.environment.checker.report_violation("an operator's order does not end");
  fleet_.run_for(kRecoveryTime);
  check_recovered();
  fleet_.finish_requests();
  for (const auto& [kind, count] : faults_.counts())
    printf("%s: %d  ", name(kind), count);
  printf("\n");
}

void DrawnRun::grow_configuration() {
  if (options_.routes == 0)
    return;
  bool is_done = false;
  fleet_.fleet_operator.add_routes(options_.routes, [&] { is_done = true; });
  if (!fleet_.run_until(kFaultTimeout, [&] { return is_done; }))
    fleet_.environment.checker.report_violation("the addition of routes does not end");
}

void DrawnRun::build_large_programs() {
  for (int number = 0; number < kLargePrograms; ++number) {
    auto size = draw_size(fleet_.environment);
    record_.write("program of " + std::to_string(size.lines) + " lines, " + std::to_string(size.turns_a_line) +
                  " turns a line, " + std::to_string(size.input_bytes) + " bytes a turn");
    large_programs_.push_back(std::make_unique<LargeProgram>(fleet_, size));
    if (!large_programs_.back()->build(kBuildTimeout))
      fleet_.environment.checker.report_violation("the large programs' first turns are not served");
  }
}

void DrawnRun::begin_traffic(MonotonicTime end) {
  struct Stream {
    Duration interval;
    RequestKind kind;
    const char* route;
  };
  const Stream streams[] = {{170ms, RequestKind::safe, "safe"},
                            {250ms, RequestKind::unsafe, "unsafe"},
                            {500ms, RequestKind::stream, "stream"},
                            {500ms, RequestKind::resumable, "resume"}};
  for (const auto& stream : streams) {
    fleet_.environment.repeat(stream.interval / options_.load, end,
                              [this, stream] { fleet_.callers.send_plain(stream.kind, stream.route); });
  }
}

void DrawnRun::begin_kept_connections(MonotonicTime end) {
  fleet_.environment.repeat(Duration(60ms) / options_.load, end, [this] { send_on_kept_connection(); });
}

/// To any gateway that listens, ready or not, as the owner of an open connection does.
void DrawnRun::send_on_kept_connection() {
  struct Use {
    RequestKind kind;
    const char* route;
  };
  const Use uses[] = {{RequestKind::safe, "safe"},
                      {RequestKind::unsafe, "unsafe"},
                      {RequestKind::stream, "stream"},
                      {RequestKind::unsafe, "slow"}};
  auto& environment = fleet_.environment;
  const auto& use = uses[environment.random_below(std::size(uses))];
  auto gateways = static_cast<uint64_t>(fleet_.machines.machine_count(MachineClass::front));
  auto request = std::make_shared<platform_stub::CallerRequest>();
  request->kind = use.kind;
  request->route = use.route;
  request->body = "kept " + environment.random_name();
  request->connection_use = platform_stub::ConnectionUse::kept;
  request->only_gateway = environment.addresses.gateway(static_cast<int>(environment.random_below(gateways)));
  if (request->route == "slow")
    request->timeout = platform_stub::kSlowRouteTimeout;
  fleet_.callers.send(request);
}

void DrawnRun::begin_programs(MonotonicTime end) {
  auto& environment = fleet_.environment;
  environment.repeat(Duration(800ms) / options_.load, end, [this] { fleet_.program_callers.start_program(true); });
  environment.repeat(Duration(2000ms) / options_.load, end, [this] { fleet_.program_callers.start_program(false); });
  environment.repeat(4000ms, end,
                     [this] { fleet_.program_callers.start_runaway(fleet_.environment.random_below(2) == 1); });
  environment.repeat(2000ms, end, [this] { fleet_.program_callers.send_turn_on_unknown_turn(); });
  environment.repeat(500ms, end, [this] {
    auto& program = *large_programs_[fleet_.environment.random_below(large_programs_.size())];
    program.continue_line_once(fleet_.environment.random_below(program.lines()));
  });
}

/// Everything has been back for the time of recovery.
void DrawnRun::check_recovered() {
  auto& checker = fleet_.environment.checker;
  for (auto& program : large_programs_) {
    auto line = fleet_.environment.random_below(program->lines());
    if (!program->continue_line(line, kRecoveryTime))
      checker.report_violation("a large program does not go on after the disturbances");
  }
  bool is_read_back = false;
  fleet_.fleet_operator.read_back([&] { is_read_back = true; });
  fleet_.run_until(kFaultTimeout, [&] { return is_read_back; });
  if (!fleet_.environment.served.reaches(kRequiredShare))
    checker.report_violation("too few requests were served");
}

}  // namespace mosskeel::soak
