// Simulated callers of plain requests: fetches, which are idempotent, and counts, which are not.
#include "simulation/callers.hpp"

namespace mosskeel::sim {
namespace {

constexpr double kCountsWithKey = 0.7;
/// Probability that a count with a key is sent twice at once.
constexpr double kCountsSentTwice = 0.2;
/// Retry delay where the response does not state one, and the upper bound of the random delay added to it.
constexpr Duration kDefaultCountRetry = 300ms;
constexpr Duration kCountRetryVariation = 200ms;

ProgramRequest plain_request(const std::string& method, const std::string& path) {
  ProgramRequest request{};
  request.cell = "news";
  request.route = "app";
  request.kind = "app";
  request.method = method;
  request.path = path;
  return request;
}

/// Whether the response is the outcome recorded under the key, which a retry cannot change.
bool is_kept_outcome(const ProgramResponse& response) {
  return response.reason.starts_with("kept outcome") ||
         response.reason.find("will not be run again") != std::string::npos;
}

}  // namespace

void Callers::fetch() {
  auto gateway = pick_gateway();
  if (gateway.empty())
    return;
  auto path = "/tallies/" + std::to_string(++last_number_);
  auto check = [=, this](const Message& message) {
    const auto* response = std::get_if<ProgramResponse>(&message);
    if (response && response->status == kStatusOk && response->body != "GET " + path)
      world_.fail("a success that is not the replica's whole answer: " + path);
  };
  auto session = open_session(gateway, check, [] {});
  auto request = plain_request("GET", path);
  request.attempt = "f" + std::to_string(world_.next_random());
  request.idempotent = true;
  post(gateway, session, std::move(request));
}

void Callers::count() {
  auto count = std::make_shared<Count>();
  auto number = std::to_string(++last_number_);
  count->path = "/counts/" + number;
  if (world_.chance(kCountsWithKey))
    count->key = "c" + number;
  counts_[count->path] = count;
  attempt_count(count);
  if (!count->key.empty() && world_.chance(kCountsSentTwice))
    attempt_count(count);
}

void Callers::attempt_count(std::shared_ptr<Count> count) {
  auto gateway = pick_gateway();
  if (gateway.empty())
    return;
  ++count->tries;
  ++count->in_flight;
  auto attempt = std::make_shared<CountAttempt>();
  attempt->count = count;
  auto request = plain_request("POST", count->path);
  request.attempt = "n" + std::to_string(world_.next_random());
  request.key = count->key;
  auto on_message = [=, this](const Message& message) {
    if (const auto* response = std::get_if<ProgramResponse>(&message))
      settle_count(attempt, response, false);
  };
  auto session = open_session(gateway, on_message, [=, this] { settle_count(attempt, nullptr, false); });
  post(gateway, session, std::move(request));
  world_.at(world_.now() + session_timeout(gateway), [=, this] { settle_count(attempt, nullptr, true); });
}

/// Ends one attempt: on a response, on a lost session (no response) or because the caller disconnected.
void Callers::settle_count(const std::shared_ptr<CountAttempt>& attempt, const ProgramResponse* response,
                           bool caller_left) {
  if (attempt->settled)
    return;
  attempt->settled = true;
  auto count = attempt->count;
  --count->in_flight;
  if (!response || response->executed != Outcome::no)
    count->sure_not_run = false;
  if (response && response->status == kStatusOk)
    return succeed(*count, *response);
  bool unknown = response ? response->executed == Outcome::unknown : !caller_left;
  if (unknown)
    ++totals.unknown_counts;
  bool kept = response && is_kept_outcome(*response);
  if (count->key.empty() || kept || count->tries >= settings.max_tries) {
    if (!count->in_flight)
      count->done = true;
    return;
  }
  auto wait = response && response->retry_ms ? Duration(response->retry_ms) : kDefaultCountRetry;
  world_.at(world_.now() + wait + world_.below(kCountRetryVariation), [=, this] {
    if (!count->done)
      attempt_count(count);
  });
}

void Callers::succeed(Count& count, const ProgramResponse& response) {
  count.success = true;
  count.done = true;
  if (response.body != "POST " + count.path)
    world_.fail("a success that is not the replica's whole answer: " + count.path + " gave " + response.body);
}

/// A count runs at most once: exactly once if it succeeded, never if every attempt was answered with "not executed".
void Callers::check_counts() {
  for (const auto& [path, count] : counts_) {
    auto runs = runs_["count" + path];
    if (runs > 1)
      world_.fail("counted " + std::to_string(runs) + " times: " + path +
                  (count->key.empty() ? "" : " key " + count->key));
    if (count->success && runs != 1)
      world_.fail("a success that no replica ran: " + path);
    if (count->done && !count->success && count->sure_not_run && runs)
      world_.fail("rejected as not executed, but counted: " + path);
  }
}

}  // namespace mosskeel::sim
