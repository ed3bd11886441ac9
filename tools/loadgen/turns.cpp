// Programs and their turns: each turn is sent until its outcome is known, and each answer is checked.
#include <nlohmann/json.hpp>
#include <thread>

#include "clock.hpp"
#include "load_generator.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

using Json = nlohmann::json;

/// How long a turn's whole answer may take.
constexpr Duration kTurnTimeout = 60000ms;
constexpr const char* kTurnDeadlineMs = "30000";
/// One turn in so many is urgent.
constexpr uint64_t kUrgentEvery = 20;
constexpr uint64_t kSharedPrefixes = 12;
constexpr size_t kQuestionBytes = 200;
/// The status with which a program's turn is refused once its budget is spent.
constexpr long kBudgetSpentStatus = 429;
/// Between a thread's turns, at most.
constexpr Duration kLongestPause = 300ms;

/// One program in so many has helper threads, and one in so many is longer.
constexpr uint64_t kHelpersEvery = 5;
constexpr uint64_t kLongerEvery = 7;
constexpr int kHelperThreads = 2;
constexpr int kHelperTurns = 3;
constexpr int kTurnsWithHelpers = 6;
constexpr int kTurnsOfLongerProgram = 5;
constexpr int kTurnsOfProgram = 3;

/// Reads the lines of a turn's answer: chunks, then what ends it.
class TurnStream {
 public:
  explicit TurnStream(double begun) : begun_(begun) {}

  void feed(const std::string& bytes) {
    unread_ += bytes;
    for (auto end = unread_.find('\n'); end != std::string::npos; end = unread_.find('\n')) {
      read_line(unread_.substr(0, end));
      unread_.erase(0, end + 1);
    }
  }

  std::string text;
  uint32_t chunks = 0;
  /// The last line reported that the turn is done, or that it failed; `last_line` has the rest.
  bool done = false;
  bool failed = false;
  Json last_line;
  /// A chunk was missing, came twice, or came after the end.
  bool out_of_order = false;
  /// Milliseconds until the first chunk.
  double first_chunk_ms = 0;

 private:
  void read_line(const std::string& line) {
    auto json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      out_of_order = true;
    } else if (json.contains("n")) {
      read_chunk(json);
    } else {
      done = done || json.contains("done");
      failed = failed || !json.contains("done");
      last_line = json;
    }
  }

  void read_chunk(const Json& chunk) {
    if (done || chunk["n"] != chunks)
      out_of_order = true;
    if (chunks == 0)
      first_chunk_ms = clock_ms() - begun_;
    ++chunks;
    text += chunk["text"].get<std::string>();
  }

  double begun_;
  std::string unread_;
};

uint32_t count_successes(const TurnResults& turns) {
  uint32_t count = 0;
  for (const auto& turn : turns)
    count += turn.success;
  return count;
}

/// Whether the caller knows of each earlier turn of the thread whether it succeeded.
bool knows_thread(const TurnResults& earlier, const std::string& thread) {
  for (const auto& turn : earlier) {
    if (turn.thread == thread && !turn.success && !turn.not_run)
      return false;
  }
  return true;
}

/// How a stand-in replica begins its answer: with the number and the digest of the turns that it was told of.
std::string expected_beginning(const TurnResults& earlier, const std::string& thread) {
  std::string chain;
  size_t links = 0;
  for (const auto& turn : earlier) {
    if (turn.thread != thread || !turn.success)
      continue;
    chain += turn.input + '\0' + turn.output + '\0';
    ++links;
  }
  return "links=" + std::to_string(links) + " chain=" + hex(digest(chain)) + " ";
}

}  // namespace

struct TurnAttempt {
  Address gateway;
  double begun = clock_ms();
  TurnStream stream{begun};
  FetchResponse response;

  bool succeeded() const { return response.status == 200 && stream.done; }
  /// "ok", the status, or that there was none.
  std::string outcome() const {
    if (succeeded())
      return "ok";
    return response.status ? std::to_string(response.status) : "no session";
  }
  /// The failure that the answer reports: in a stream's last line, else in its body.
  Failure failure() const { return read_failure(stream.failed ? stream.last_line.dump() : response.body); }
};

void LoadGenerator::send_attempt(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                                 TurnAttempt& attempt) {
  FetchRequest request;
  request.method = "POST";
  request.url = "http://" + attempt.gateway + "/v1/cells/" + plan_.cell + "/programs/" + program + "/turns";
  request.headers["Idempotency-Key"] = turn.key;
  request.headers["X-Deadline-Ms"] = kTurnDeadlineMs;
  if (random_number() % kUrgentEvery == 0)
    request.headers["X-Class"] = "urgent";
  Json body{{"input", turn.input},
            {"thread", turn.thread},
            {"prefix", "shared prefix " + std::to_string(random_number() % kSharedPrefixes)},
            {"max_tokens", plan_.turn_limit},
            {"stream", true}};
  if (knows_thread(earlier, turn.thread))
    body["after"] = count_successes(earlier);
  request.body = body.dump();
  request.timeout = kTurnTimeout;
  request.on_body = [&](const std::string& bytes) {
    attempt.stream.feed(bytes);
  };
  attempt.response = http_fetch(request);
  if (attempt.stream.out_of_order)
    report_.add_violation("stream of " + turn.key + " skipped, repeated or went on after its end");
}

void LoadGenerator::check_success(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                                  const TurnAttempt& attempt) {
  const auto& stream = attempt.stream;
  if (!attempt.response.complete)
    report_.add_violation("a finished stream ended broken: " + turn.key);
  if (stream.last_line["pieces"] != stream.chunks) {
    report_.add_violation("a stream looked finished with " + std::to_string(stream.chunks) + " pieces: " + turn.key);
  }
  auto expected = expected_beginning(earlier, turn.thread);
  if (knows_thread(earlier, turn.thread) && !stream.text.starts_with(expected)) {
    report_.add_violation("turn " + turn.key + " of " + program + " saw another chain than " + expected + ": " +
                          stream.text.substr(0, 40));
  }
  report_.add_latency("turn", clock_ms() - attempt.begun);
  if (stream.first_chunk_ms > 0)
    report_.add_latency("first piece", stream.first_chunk_ms);
}

void LoadGenerator::check_failure(const std::string& program, const TurnResult& turn, const TurnResults& earlier,
                                  const TurnAttempt& attempt, const Failure& failure) {
  auto status = attempt.response.status;
  if (status == 200 && !attempt.stream.failed && attempt.response.complete)
    report_.add_violation("a stream ended whole without its end: " + turn.key);
  auto successes = count_successes(earlier);
  if (status == 404 && failure.reason.find("missing") != std::string::npos && successes)
    report_.add_violation("a kept conversation was called missing: " + program);
  if (status == 409 && failure.reason.starts_with("after:")) {
    report_.add_violation("turn order: " + failure.reason + ", acknowledged " + std::to_string(successes) + ": " +
                          program);
  }
}

TurnResult LoadGenerator::run_turn(const std::string& program, const std::string& thread, const TurnResults& earlier) {
  TurnResult turn;
  turn.thread = thread;
  turn.key = "k" + hex(random_number());
  turn.input = "question " + turn.key + " " + std::string(kQuestionBytes, 'x');
  bool may_have_run = false;
  for (int number = 0; number < kAttemptLimit; ++number) {
    TurnAttempt attempt{.gateway = ready_gateway()};
    if (attempt.gateway.empty())
      continue;
    send_attempt(program, turn, earlier, attempt);
    if (number == 0)
      report_.count("turn first try " + attempt.outcome());
    if (attempt.succeeded()) {
      check_success(program, turn, earlier, attempt);
      turn.success = true;
      turn.output = attempt.stream.text;
      return turn;
    }
    auto failure = attempt.failure();
    if (failure.ran != "no" && attempt.response.request_sent)
      may_have_run = true;
    count_attempt("turn", attempt.response.status, failure.ran);
    check_failure(program, turn, earlier, attempt, failure);
    if (attempt.response.status == kBudgetSpentStatus) {
      turn.budget_spent = true;
      break;
    }
    if (failure.ran == "unknown" && failure.is_final()) {
      report_.count("turn ended unknown: " + failure.reason);
      return turn;
    }
    sleep_for(failure.retry_after);
  }
  turn.not_run = !may_have_run;
  count_given_up(turn);
  return turn;
}

void LoadGenerator::count_given_up(const TurnResult& turn) {
  if (turn.budget_spent)
    report_.count("turn budget spent");
  else
    report_.count(turn.not_run ? "turn given up, not run" : "turn given up, unknown");
}

void LoadGenerator::run_turns(const std::string& program, const std::string& thread, int count,
                              ProgramResults& results) {
  TurnResults own;
  for (int number = 0; number < count; ++number) {
    auto turn = run_turn(program, thread, own);
    own.push_back(turn);
    {
      std::lock_guard lock(results.mutex);
      results.turns.push_back(turn);
    }
    if (turn.not_run)
      note_not_run(plan_.cell + "/" + program + "/" + turn.key);
    if (turn.budget_spent)
      return;
    sleep_for(Duration(random_number() % static_cast<uint64_t>(kLongestPause.count())));
  }
}

void LoadGenerator::run_program(uint64_t number) {
  auto program = "p" + std::to_string(number) + "-" + hex(random_number()).substr(0, 6);
  ProgramResults results;
  std::vector<std::thread> helpers;
  int turns = kTurnsOfProgram;
  if (number % kLongerEvery == 0)
    turns = kTurnsOfLongerProgram;
  if (number % kHelpersEvery == 0) {
    turns = kTurnsWithHelpers;
    for (int helper = 0; helper < kHelperThreads; ++helper) {
      auto thread = "helper" + std::to_string(helper);
      helpers.emplace_back([&, thread] { run_turns(program, thread, kHelperTurns, results); });
    }
  }
  run_turns(program, "main", turns, results);
  for (auto& helper : helpers)
    helper.join();
  report_.count("programs");
  std::lock_guard lock(mutex_);
  turns_by_program_[program] = std::move(results.turns);
}

}  // namespace mosskeel::loadgen
