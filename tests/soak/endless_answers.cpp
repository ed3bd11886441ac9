#include "soak/endless_answers.hpp"

#include <algorithm>

#include "platform_stub/endless_replica.hpp"
#include "soak/processor_burden.hpp"
#include "soak/reading_callers.hpp"

namespace mosskeel::soak {

namespace {

using platform_stub::EndlessAnswer;
using platform_stub::EndlessForm;
using platform_stub::EndlessReplica;
using platform_stub::RequestKind;

/// How long the answers of one case go on while other callers are observed.
constexpr Duration kCaseTime = 1500ms;
/// Until all gateways know new routes and replicas.
constexpr Duration kConfigurationTime = 5000ms;
constexpr Duration kCallTimeout = 20000ms;
/// All requests of a case end by their route's time-out and what a commit may take beyond it.
constexpr Duration kEndTimeout = 10000ms;

/// Requests at once: few, as a back end gets from one gateway, and many.
constexpr int kFewRequests = 4;
constexpr int kManyRequests = 150;
constexpr uint32_t kEndlessReplicaSlots = 600;
/// So large that no turn is cut off for its tokens.
constexpr const char* kTokenCounts = "100,1000000000";
constexpr const char* kTokenBudget = "1000000000000";

/// Other callers, while the answers go on.
constexpr Duration kOtherRequestInterval = 20ms;
constexpr Duration kOtherTurnInterval = 200ms;
/// The aim of the most urgent plain requests of the deployments.
constexpr Duration kOtherLatencyAim = 400ms;
constexpr double kLatencyQuantile = 0.99;
constexpr double kRequiredShareOfOthers = 0.99;

/// Large answers that end: one event, a body in one chunk, a body with a length.
constexpr size_t kLargeTurnBytes = 1u << 20;
constexpr size_t kLargeBodyBytes = 24u << 20;

/// Turns on a service of which one replica of three is faulty.
constexpr int kMixedTurns = 150;
constexpr Duration kMixedInterval = 40ms;
/// Of the turns that its callers send anew, as agents do.
constexpr double kRequiredShareOfMixed = 0.9;
/// Of the attempts; an even share would be a third.
constexpr double kMaxShareAtFaultyReplica = 0.15;

const char* const kMixedName = "mixed";

struct Case {
  EndlessAnswer answer;
  RequestKind kind = RequestKind::turn;
  ReadingSpeed speed = ReadingSpeed::fast;
  int requests = kFewRequests;
};

std::string describe(const Case& played) {
  const char* const kinds[] = {"safe requests", "unsafe requests",         "streams",
                               "resumable",     "turns that are retained", "turns that are not"};
  auto size = played.answer.body_bytes;
  return std::string(name(played.answer.form)) + (size ? " of " + std::to_string(size) + " bytes" : "") + ", status " +
         std::to_string(played.answer.status) + ", " + std::to_string(played.requests) + " " +
         kinds[static_cast<int>(played.kind)] + (played.speed == ReadingSpeed::slow ? ", slow callers" : "");
}

class EndlessAnswers {
 public:
  explicit EndlessAnswers(FleetUnderTest& fleet) : fleet_(fleet) {
    fleet_.environment.on_attempt_over = [this](const platform_stub::AttemptReport& attempt) {
      if (attempt.is_complete && attempt.status == 200 && attempt.route == "safe")
        latencies_.push_back(attempt.ended_at - attempt.sent_at);
    };
  }
  ~EndlessAnswers() { fleet_.environment.on_attempt_over = nullptr; }

  void play() {
    draw_cases();
    if (!configure())
      return;
    observe("no endless answers", [](int) {});
    for (size_t index = 0; index < cases_.size(); ++index)
      play_case(index);
    play_mixed();
  }

 private:
  void draw_cases() {
    for (auto form : platform_stub::kEndlessForms)
      cases_.push_back({.answer = {.form = form}});
    for (auto form : platform_stub::kEndlessForms)
      cases_.push_back(draw_case(form));
    cases_.push_back({.answer = {EndlessForm::whole_events, 200, kLargeTurnBytes}});
    cases_.push_back({.answer = {EndlessForm::one_chunk, 200, kLargeBodyBytes}, .kind = RequestKind::safe});
    cases_.push_back({.answer = {EndlessForm::huge_length, 200, kLargeBodyBytes}, .kind = RequestKind::unsafe});
  }

  Case draw_case(EndlessForm form) {
    auto& environment = fleet_.environment;
    constexpr uint64_t kKinds = 6;
    Case drawn;
    drawn.answer.form = form;
    drawn.answer.status = environment.random_below(2) == 0 ? 200 : 500;
    drawn.kind = static_cast<RequestKind>(environment.random_below(kKinds));
    drawn.speed = environment.random_below(2) == 0 ? ReadingSpeed::fast : ReadingSpeed::slow;
    drawn.requests = environment.random_below(2) == 0 ? kFewRequests : kManyRequests;
    return drawn;
  }

  /// Gives each case a route, a service and a replica of its own, so that none is judged by the case before it.
  bool configure() {
    auto routes = nlohmann::json::array();
    auto services = nlohmann::json::array();
    for (size_t index = 0; index < cases_.size(); ++index) {
      routes.push_back(platform_stub::route_for(case_name(index), cases_[index].kind, case_name(index)));
      services.push_back(platform_stub::model_service(case_name(index)));
      replicas_.push_back(&fleet_.add_endless_replica(case_name(index), 0, kEndlessReplicaSlots, cases_[index].answer));
    }
    routes.push_back(platform_stub::route_for(kMixedName, RequestKind::turn, kMixedName));
    services.push_back(platform_stub::model_service(kMixedName));
    fleet_.add_model_replica(kMixedName, 1);
    fleet_.add_model_replica(kMixedName, 2);
    mixed_ = &fleet_.add_endless_replica(kMixedName, 0, platform_stub::kReplicaCapacity,
                                         {.form = EndlessForm::whole_events});
    bool is_done = false;
    fleet_.fleet_operator.add(routes, services, [&] { is_done = true; });
    bool is_configured = fleet_.run_until(kCallTimeout, [&] { return is_done; });
    fleet_.run_for(kConfigurationTime);
    return is_configured;
  }

  static std::string case_name(size_t index) { return "endless" + std::to_string(index); }

  void play_case(size_t index) {
    const auto& played = cases_[index];
    observe(describe(played), [&](int gateway) {
      for (int request = 0; request < played.requests; ++request)
        send(case_name(index), played, fleet_.environment.addresses.gateway(gateway));
    });
    judge_results(played);
    judge_executions(*replicas_[index], played.kind);
    restart_ended_gateways();
  }

  /// Plays the case at one gateway, which is drawn, and checks how other callers are served meanwhile.
  void observe(const std::string& description, const std::function<void(int gateway)>& begin) {
    auto& environment = fleet_.environment;
    latencies_.clear();
    auto served_before = environment.served.served();
    auto requests_before = environment.served.requests();
    auto gateways = fleet_.machines.machine_count(MachineClass::front);
    begin(static_cast<int>(environment.random_below(static_cast<uint64_t>(gateways))));
    auto end = monotonic_now() + kCaseTime;
    environment.repeat(kOtherRequestInterval, end, [&] { fleet_.callers.send_plain(RequestKind::safe, "safe"); });
    environment.repeat(kOtherTurnInterval, end, [&] { fleet_.program_callers.start_program(true); });
    fleet_.run_for(kCaseTime);
    if (!fleet_.run_until(kEndTimeout, [&] { return endless_callers_.open_requests() == 0; }))
      report("requests stay open: " + description);
    fleet_.finish_requests();
    judge_others(description, environment.served.served() - served_before,
                 environment.served.requests() - requests_before);
  }

  void judge_others(const std::string& description, int served, int requests) {
    std::sort(latencies_.begin(), latencies_.end());
    auto last =
        latencies_.empty() ? 0 : static_cast<size_t>(kLatencyQuantile * static_cast<double>(latencies_.size() - 1));
    auto latency = latencies_.empty() ? Duration::max() : latencies_[last];
    printf("%-90s others: %4d of %4d served, 0.99 in %4d ms; highest memory of a gateway %3zu MB, now %3zu MB\n",
           description.c_str(), served, requests, static_cast<int>(latency.count()),
           fleet_.machines.peak_resident_bytes(MachineClass::front) >> 20,
           fleet_.machines.largest_resident_bytes(MachineClass::front) >> 20);
    fflush(stdout);
    if (served < kRequiredShareOfOthers * requests)
      report("other callers are not served beside " + description);
    if (latency > kOtherLatencyAim)
      report("other callers wait for " + std::to_string(latency.count()) + " ms beside " + description);
  }

  void send(const std::string& route, const Case& played, const Address& gateway) {
    auto attempt = fleet_.environment.random_name();
    HeaderFields fields{{"Host", "ask.example"},
                        {"Mosskeel-Attempt-Id", attempt},
                        {"Mosskeel-Time-Left", "4000"},
                        {"Mosskeel-Token-Count", kTokenCounts}};
    if (platform_stub::is_turn(played.kind)) {
      fields.push_back({"Mosskeel-Program-Id", fleet_.environment.random_name()});
      fields.push_back({"Mosskeel-Session-Id", fleet_.environment.random_name()});
      fields.push_back({"Mosskeel-Token-Budget", kTokenBudget});
    }
    ReadingRequest request;
    request.attempt = attempt;
    request.message = {gateway, "POST", "/" + route + "/1", std::move(fields), "input"};
    request.speed = played.speed;
    endless_callers_.send(std::move(request));
  }

  void judge_results(const Case& played) {
    bool must_be_whole = played.answer.body_bytes > 0;
    size_t whole = 0;
    auto results = endless_callers_.take_results();
    for (const auto& result : results) {
      bool is_success = result.is_complete && result.status == 200;
      whole += is_success && result.body_bytes >= played.answer.body_bytes ? 1 : 0;
      if (is_success && !must_be_whole)
        report(result.attempt + " received an answer without end as a whole one: " + describe(played));
    }
    if (must_be_whole && whole < results.size())
      report(std::to_string(results.size() - whole) + " large answers were not passed on: " + describe(played));
  }

  void judge_executions(const EndlessReplica& replica, RequestKind kind) {
    auto executions = replica.executions();
    if (executions.empty())
      report("no request reached " + replica.listed.service);
    for (const auto& [attempt, count] : executions) {
      if (count > 1 && !platform_stub::is_idempotent(kind))
        report(attempt + " was executed " + std::to_string(count) + " times");
    }
  }

  void play_mixed() {
    int served = 0;
    int ended = 0;
    for (int turn = 0; turn < kMixedTurns; ++turn) {
      fleet_.environment.loop.run_after(kMixedInterval * turn, [&] {
        auto request = std::make_shared<platform_stub::CallerRequest>();
        request->kind = RequestKind::unkept_turn;
        request->route = kMixedName;
        request->program = fleet_.environment.random_name();
        request->session = fleet_.environment.random_name();
        request->body = "mixed " + request->program;
        request->on_done = [&](const platform_stub::RequestResult& result) {
          served += result.is_success ? 1 : 0;
          ++ended;
        };
        fleet_.callers.send(request);
      });
    }
    if (!fleet_.run_until(kMixedInterval * kMixedTurns + 3 * kCallTimeout, [&] { return ended == kMixedTurns; }))
      return report("turns of the mixed service stay open");
    int at_faulty = 0;
    for (const auto& [attempt, count] : mixed_->executions())
      at_faulty += count;
    printf("one replica of three is faulty: %d of %d turns served, %d attempts at the faulty one\n", served,
           kMixedTurns, at_faulty);
    if (served < kRequiredShareOfMixed * kMixedTurns)
      report("too few turns are served beside a faulty replica");
    if (at_faulty > kMaxShareAtFaultyReplica * kMixedTurns)
      report("a faulty replica goes on to be asked");
  }

  /// Brings back the machines whose processes have ended, which is a violation of its own, for the cases that follow.
  void restart_ended_gateways() {
    bool has_restarted = false;
    for (int index = 0; index < fleet_.machines.machine_count(MachineClass::front); ++index) {
      const MachineId machine{MachineClass::front, index};
      if (fleet_.machines.are_all_running(machine))
        continue;
      fleet_.machines.kill(machine);
      fleet_.machines.start(machine);
      has_restarted = true;
    }
    if (has_restarted)
      fleet_.run_for(kConfigurationTime);
  }

  void report(const std::string& violation) { fleet_.environment.checker.report_violation(violation); }

  FleetUnderTest& fleet_;
  ReadingCallers endless_callers_;
  std::vector<Case> cases_;
  /// Those of the cases, in their order.
  std::vector<EndlessReplica*> replicas_;
  EndlessReplica* mixed_ = nullptr;
  /// Of other callers' plain requests that were served, in the case that is played.
  std::vector<Duration> latencies_;
};

}  // namespace

void play_endless_answers(FleetUnderTest& fleet) {
  EndlessAnswers(fleet).play();
}

void play_endless_answers_on_half_a_core(FleetUnderTest& fleet) {
  ProcessorBurden burden(fleet.machines.processes(MachineClass::front));
  EndlessAnswers(fleet).play();
}

}  // namespace mosskeel::soak
