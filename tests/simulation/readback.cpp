// Final checks of a run: every program is read back and its acknowledged turns are verified.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "simulation/callers.hpp"

namespace mosskeel::sim {
namespace {

using Json = nlohmann::json;

constexpr int64_t kReadDeadlineMs = 5000;
/// A program may be unavailable for a while; after this many attempts it counts as lost.
constexpr int kMaxReads = 40;
constexpr Duration kReadRetry = 250ms;
/// All programs together must be read back within this time.
constexpr Duration kReadBackTime = 30000ms;
constexpr uint32_t kStatusMissing = 404;

}  // namespace

std::vector<std::string> Callers::programs() const {
  std::vector<std::string> found;
  for (const auto& [program, turns] : turns_)
    if (std::any_of(turns.begin(), turns.end(), [](const auto& turn) { return turn->success; }))
      found.push_back(program);
  return found;
}

void Callers::check_at_end() {
  unread_ = 0;
  for (const auto& program : programs()) {
    ++unread_;
    auto reading = std::make_shared<ReadBack>();
    reading->program = program;
    try_read_back(reading);
  }
  world_.until(kReadBackTime, [this] { return unread_ <= 0; });
  check_counts();
  if (unread_ > 0)
    world_.fail(std::to_string(unread_) + " programs could not be read back in time");
  for (const auto& [program, turns] : turns_)
    for (const auto& turn : turns)
      if (turn->done && turn->sure_not_run && !turn->success && runs_[turn_name(program, turn->key)])
        world_.fail("rejected as not executed, but ran: " + turn->key);
}

void Callers::try_read_back(const std::shared_ptr<ReadBack>& reading) {
  std::vector<std::shared_ptr<Turn>> expected;
  for (const auto& turn : turns_.at(reading->program))
    if (turn->success)
      expected.push_back(turn);
  auto heard = std::make_shared<bool>(false);
  read_back(reading->program, [=, this](uint32_t status, const std::string& body) {
    if (*heard)
      return;
    *heard = true;
    handle_read_back(reading, expected, status, body);
  });
}

/// Reads a program's history through any gateway; status 0 means that there was no response.
void Callers::read_back(const std::string& program, ReadHandler on_done) {
  auto gateway = pick_gateway();
  if (gateway.empty())
    return on_done(0, "");
  auto on_message = [=](const Message& message) {
    const auto* response = std::get_if<ProgramResponse>(&message);
    if (response)
      on_done(response->status, response->status == kStatusOk ? response->body : response->reason);
  };
  auto session = open_session(gateway, on_message, [=] { on_done(0, ""); });
  ProgramRequest request{};
  request.attempt = "h" + std::to_string(world_.next_random());
  request.cell = "news";
  request.kind = "history";
  request.program = program;
  request.deadline_ms = kReadDeadlineMs;
  post(gateway, session, std::move(request));
}

void Callers::handle_read_back(const std::shared_ptr<ReadBack>& reading,
                               const std::vector<std::shared_ptr<Turn>>& expected, uint32_t status,
                               const std::string& body) {
  const auto& program = reading->program;
  if (status == kStatusMissing) {
    world_.fail("an acknowledged program was reported missing: " + program);
    --unread_;
    return;
  }
  if (status == kStatusOk) {
    --unread_;
    ++totals.resumed;
    return check_recorded_turns(program, expected, body);
  }
  if (++reading->tries > kMaxReads) {
    world_.fail("program " + program + " cannot be read back: " + body);
    --unread_;
    return;
  }
  world_.at(world_.now() + kReadRetry, [=, this] { try_read_back(reading); });
}

void Callers::check_recorded_turns(const std::string& program, const std::vector<std::shared_ptr<Turn>>& expected,
                                   const std::string& body) {
  auto history = Json::parse(body);
  std::map<std::string, std::string> kept;
  for (const auto& turn : history["turns"])
    if (turn["status"] == kStatusOk)
      kept[turn["key"].get<std::string>()] = turn["output"].get<std::string>();
  for (const auto& turn : expected)
    if (kept[turn->key] != turn->output)
      world_.fail("acknowledged turn " + turn->key + " of " + program + " is lost or changed");
}

}  // namespace mosskeel::sim
