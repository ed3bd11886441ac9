// Calls of the application's tools between two turns of a program.
#include "clock.hpp"
#include "load_generator.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

/// How many different resources of each kind are asked for.
constexpr uint64_t kSmallResources = 97;
constexpr uint64_t kLargeResources = 997;
/// One program in so many counts something, and one in so many fetches an archive.
constexpr uint64_t kCountEvery = 2;
constexpr uint64_t kArchiveEvery = 20;

/// The body with which a stand-in replica answers: it begins with the request, and each further part follows from it.
std::string expected_body(const std::string& path, size_t bytes) {
  auto body = "GET " + path + " ";
  for (auto seed = digest(body); body.size() < bytes; seed = digest("", seed))
    body += hex(seed);
  return body;
}

}  // namespace

void LoadGenerator::run_tool_calls(uint64_t number) {
  auto small = std::to_string(number % kSmallResources);
  auto large = std::to_string(number % kLargeResources);
  if (plan_.mix == "election") {
    get("/tallies/" + small, "tally", "normal");
    get("/tiles/" + large, "tile", "normal");
  } else {
    get("/status/" + small, "status", "normal");
    get("/artifacts/" + large, "artifact", "normal");
  }
  if (number % kCountEvery == 0)
    post_count(number);
  if (number % kArchiveEvery == 0)
    get("/archive/" + std::to_string(number), "archive", "bulk");
}

void LoadGenerator::check_body(const std::string& path, const std::string& body) {
  if (!body.starts_with("GET " + path + " "))
    report_.add_violation("another answer for " + path);
  else if (body != expected_body(path, body.size()))
    report_.add_violation("a success that is not the replica's whole answer: " + path);
}

void LoadGenerator::get(const std::string& path, const std::string& what, const std::string& request_class) {
  for (int number = 0; number < kAttemptLimit; ++number) {
    auto gateway = ready_gateway();
    if (gateway.empty())
      continue;
    FetchRequest request;
    request.url = "http://" + gateway + "/v1/cells/" + plan_.cell + "/app" + path;
    request.headers["X-Class"] = request_class;
    auto begun = clock_ms();
    auto response = http_fetch(request);
    if (response.status == 200 && response.complete) {
      report_.add_latency(what, clock_ms() - begun);
      check_body(path, response.body);
      return;
    }
    count_attempt(what, response.status, "");
    sleep_for(read_failure(response.body).retry_after);
  }
  report_.count(what + " given up");
}

/// A request that must run at most once.
void LoadGenerator::post_count(uint64_t number) {
  auto id = "count-" + std::to_string(number) + "-" + hex(random_number());
  bool may_have_run = false;
  for (int attempt = 0; attempt < kAttemptLimit; ++attempt) {
    auto gateway = ready_gateway();
    if (gateway.empty())
      continue;
    FetchRequest request;
    request.method = "POST";
    request.url = "http://" + gateway + "/v1/cells/" + plan_.cell + "/app/count";
    request.headers["Idempotency-Key"] = id;
    request.body = id;
    auto begun = clock_ms();
    auto response = http_fetch(request);
    if (response.status == 200 && response.complete) {
      report_.add_latency("count", clock_ms() - begun);
      return;
    }
    auto failure = read_failure(response.body);
    if (failure.ran != "no" && response.request_sent)
      may_have_run = true;
    count_attempt("count", response.status, failure.ran);
    if (failure.is_final()) {
      report_.count("count ended unknown");
      return;
    }
    sleep_for(failure.retry_after);
  }
  if (!may_have_run)
    note_not_run("app:" + id);
  report_.count("count given up");
}

}  // namespace mosskeel::loadgen
