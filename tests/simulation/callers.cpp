// Sessions of simulated callers, and the turns of their programs.
#include "simulation/callers.hpp"

#include <algorithm>

namespace mosskeel::sim {
namespace {

/// When a caller asks again if the answer does not say.
constexpr Duration kDefaultRetry = 300ms;
/// When a caller looks again for a gateway if there is none.
constexpr Duration kNoGatewayRetry = 1000ms;
/// Retries are spread over this time.
constexpr Duration kRetryVariation = 200ms;
/// Longer than any request may take.
constexpr Duration kFullPatience = 45000ms;
/// How often a caller leaves early.
constexpr double kLeavesEarly = 0.03;
constexpr Duration kEarlyLeave = 400ms;
/// A caller of a frozen gateway leaves after this time, and up to `kFrozenVariation` more.
constexpr Duration kFrozenPatience = 500ms;
constexpr Duration kFrozenVariation = 4000ms;
/// Pauses between the turns of a program are shorter than this.
constexpr Duration kThinkTime = 500ms;
/// The deadline of a turn, in the caller's words.
constexpr int64_t kTurnDeadlineMs = 30000;
constexpr int kLongProgramTurns = 10;
constexpr int kFewestTurns = 2;
/// A short program has fewer turns than this beyond the fewest.
constexpr uint64_t kTurnVariation = 4;
constexpr uint32_t kStatusNotFound = 404;
constexpr uint32_t kStatusBadRequest = 400;
constexpr uint32_t kStatusTooManyRequests = 429;
constexpr uint32_t kStatusUnavailable = 503;
constexpr int kZonesOfReplicas = 3;

SimReplica make_replica(const std::string& kind, int index) {
  SimReplica replica;
  replica.name = kind + std::to_string(index + 1);
  replica.kind = kind;
  replica.zone = std::string(1, static_cast<char>('a' + index % kZonesOfReplicas));
  return replica;
}

/// Whether asking again cannot change the answer.
bool is_final(const ProgramResponse& response) {
  bool kept_unknown = response.executed == Outcome::unknown && response.reason.starts_with("kept outcome");
  bool never_again = response.reason.find("will not be run again") != std::string::npos;
  return kept_unknown || never_again || response.status == kStatusTooManyRequests ||
         response.status == kStatusBadRequest;
}

}  // namespace

Callers::Callers(World& world, int models, int apps, uint64_t budget, uint64_t turn_limit)
    : world_(world), budget_(budget), turn_limit_(turn_limit) {
  for (int i = 0; i < models; ++i) {
    auto replica = make_replica("model", i);
    replicas[replica.name] = replica;
  }
  for (int i = 0; i < apps; ++i) {
    auto replica = make_replica("app", i);
    replicas[replica.name] = replica;
  }
  world.local = [this](Node& node, const Envelope& envelope) {
    hear(node, envelope);
  };
  world.replica = [this](Node& node, const Envelope& envelope) {
    hear_call(node, envelope);
  };
  world.died = [this](Node& node) {
    lose_sessions(node);
  };
}

Address Callers::open_session(const std::string& process, MessageHandler hear, std::function<void()> lost) {
  auto address = "local:" + std::to_string(++last_number_);
  sessions_[{process, address}] = {std::move(hear), std::move(lost)};
  return address;
}

void Callers::hear(const Node& node, const Envelope& envelope) {
  auto found = sessions_.find({node.name, envelope.to});
  if (found == sessions_.end())
    return;
  auto handler = found->second.hear;
  handler(envelope.body);
}

/// The callers of a process notice its end one millisecond later.
void Callers::lose_sessions(const Node& node) {
  std::vector<std::function<void()>> handlers;
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    if (session->first.process != node.name) {
      ++session;
      continue;
    }
    handlers.push_back(session->second.lost);
    session = sessions_.erase(session);
  }
  for (const auto& handler : handlers)
    world_.at(world_.now() + 1ms, handler);
}

void Callers::post(const std::string& gateway, const Address& from, ProgramRequest request) {
  Envelope envelope{};
  envelope.from = from;
  envelope.body = std::move(request);
  world_.post(gateway, std::move(envelope));
}

void Callers::send(const std::string& gateway, ProgramRequest request, MessageHandler hear) {
  auto session = open_session(gateway, std::move(hear), [] {});
  post(gateway, session, std::move(request));
}

/// Any gateway that runs, or is ready where the platform looks at that; empty if there is none.
std::string Callers::pick_gateway() {
  std::vector<std::string> choices;
  for (const auto& name : world_.names(Kind::gateway)) {
    bool usable = settings.only_ready ? world_.alive(name) && world_.ready(name) : world_.node(name).machine != nullptr;
    if (usable)
      choices.push_back(name);
  }
  return choices.empty() ? "" : choices[world_.next_random() % choices.size()];
}

/// How long a caller keeps its session open: sometimes it leaves early, and nobody waits for a frozen gateway.
Duration Callers::patience(const std::string& gateway) {
  if (world_.node(gateway).frozen)
    return kFrozenPatience + world_.below(kFrozenVariation);
  if (world_.chance(kLeavesEarly))
    return 1ms + world_.below(kEarlyLeave);
  return kFullPatience;
}

void Callers::traffic(Duration gap, TimePoint end) {
  if (world_.now() >= end)
    return;
  if (world_.chance(0.5))
    fetch();
  if (world_.chance(0.5))
    count();
  bool is_long = settings.long_program_share && world_.next_random() % settings.long_program_share == 0;
  int turns = is_long ? kLongProgramTurns : kFewestTurns + static_cast<int>(world_.below(kTurnVariation));
  continue_program("p" + std::to_string(++last_number_), turns, 0);
  world_.at(world_.now() + 1ms + world_.below(gap * 2), [=, this] { traffic(gap, end); });
}

/// The turn of this index, then the following ones. Some programs have sub-agents beside; some callers are not
/// stubborn.
void Callers::continue_program(const std::string& name, int turns, int index) {
  constexpr double sub_agent_share = 0.3;
  constexpr double impatient_share = 0.25;
  if (index >= turns)
    return;
  bool may_have_sub_agent = settings.sub_agents && (index == 1 || turns == kLongProgramTurns);
  if (may_have_sub_agent && world_.chance(sub_agent_share))
    turn(name, "helper" + std::to_string(index), [](const Turn&) {});
  auto go_on = [=, this](const Turn&) {
    world_.at(world_.now() + world_.below(kThinkTime), [=, this] { continue_program(name, turns, index + 1); });
  };
  bool stubborn = !world_.chance(impatient_share);
  turn(name, "main", go_on, stubborn);
}

/// How many turns the thread has, where the caller can be sure of it.
std::optional<uint32_t> Callers::known_turns(const std::string& program, const std::string& thread) {
  uint32_t known = 0;
  for (const auto& turn : turns_[program]) {
    if (turn->thread != thread)
      continue;
    if (!turn->done || (!turn->success && !turn->sure_not_run))
      return std::nullopt;
    known += turn->success;
  }
  return known;
}

void Callers::turn(const std::string& program, const std::string& thread, TurnHandler then, bool stubborn) {
  constexpr double states_expected_turns = 0.3;
  auto turn = std::make_shared<Turn>();
  turn->program = program;
  turn->thread = thread;
  turn->key = "k" + std::to_string(++last_number_);
  turn->input = "say " + turn->key;
  turn->input.resize(std::max(turn->input.size(), settings.input_bytes), '.');
  turn->ordinal = last_number_;
  auto known = known_turns(program, thread);
  if (known && world_.chance(states_expected_turns))
    turn->expected_turns = known;
  turns_[program].push_back(turn);
  attempt_turn(turn, std::move(then), stubborn);
}

void Callers::attempt_turn(std::shared_ptr<Turn> turn, TurnHandler then, bool stubborn) {
  ++turn->tries;
  auto gateway = pick_gateway();
  if (gateway.empty())
    return retry_turn(turn, then, stubborn, kNoGatewayRetry);
  auto attempt = std::make_shared<TurnAttempt>();
  attempt->turn = turn;
  attempt->then = std::move(then);
  attempt->stubborn = stubborn;
  attempt->begun = world_.now();
  attempt->urgent = settings.urgent_share && world_.next_random() % settings.urgent_share == 0;
  if (attempt->urgent)
    ++totals.urgent_asked;
  turn->chunks = 0;
  turn->text.clear();
  send_turn(gateway, attempt);
}

void Callers::send_turn(const std::string& gateway, const std::shared_ptr<TurnAttempt>& attempt) {
  auto session = open_session(
      gateway, [=, this](const Message& message) { hear_turn(attempt, message); },
      [=, this] { settle_turn(attempt, nullptr, false); });
  const auto& turn = *attempt->turn;
  ProgramRequest request{};
  request.attempt = "a" + std::to_string(world_.next_random());
  request.cell = "news";
  request.route = "chat";
  request.kind = "model";
  request.program = turn.program;
  request.thread = turn.thread;
  request.key = turn.key;
  request.body = turn.input;
  request.max_tokens = turn_limit_;
  request.deadline_ms = kTurnDeadlineMs;
  request.urgent = attempt->urgent;
  request.expected_turns = turn.expected_turns;
  post(gateway, session, std::move(request));
  world_.at(world_.now() + patience(gateway), [=, this] { settle_turn(attempt, nullptr, true); });
}

void Callers::hear_turn(const std::shared_ptr<TurnAttempt>& attempt, const Message& message) {
  if (attempt->settled)
    return;
  auto& turn = *attempt->turn;
  if (const auto* chunk = std::get_if<ProgramResponseChunk>(&message)) {
    if (chunk->index != turn.chunks)
      world_.fail("stream of " + turn.key + " skips or repeats: piece " + std::to_string(chunk->index) + " for " +
                  std::to_string(turn.chunks));
    ++turn.chunks;
    turn.text += chunk->text;
  }
  if (const auto* response = std::get_if<ProgramResponse>(&message))
    settle_turn(attempt, response, false);
}

/// The end of one attempt: an answer, a session that was lost (no response), or a caller that left by itself.
void Callers::settle_turn(const std::shared_ptr<TurnAttempt>& attempt, const ProgramResponse* response,
                          bool caller_left) {
  if (attempt->settled)
    return;
  attempt->settled = true;
  auto& turn = *attempt->turn;
  if (!response || response->executed == Outcome::unknown || response->executed == Outcome::yes)
    turn.sure_not_run = false;
  if (response && response->status == kStatusOk)
    return succeed(*attempt, *response);
  if (response)
    check_rejection(turn, *response);
  count_failure(*attempt, response, caller_left);
  if (response && is_final(*response)) {
    turn.done = true;
    turn.status = response->status;
    return attempt->then(turn);
  }
  auto wait = response && response->retry_ms ? Duration(response->retry_ms) : kDefaultRetry;
  retry_turn(attempt->turn, attempt->then, attempt->stubborn, wait);
}

void Callers::retry_turn(std::shared_ptr<Turn> turn, TurnHandler then, bool stubborn, Duration wait) {
  auto most_tries = stubborn ? settings.most_tries : 1U;
  if (turn->tries >= most_tries) {
    turn->done = true;
    return then(*turn);
  }
  world_.at(world_.now() + wait + world_.below(kRetryVariation), [=, this] { attempt_turn(turn, then, stubborn); });
}

/// A success must be what the chunks added up to, and the whole sealed answer of the replica.
void Callers::succeed(TurnAttempt& attempt, const ProgramResponse& response) {
  auto& turn = *attempt.turn;
  turn.success = true;
  turn.done = true;
  turn.output = response.body;
  if (turn.chunks && (turn.chunks != response.chunks || turn.text != response.body))
    world_.fail("stream of " + turn.key + " is not the answer: " + turn.text + " / " + response.body);
  if (sealed_[turn_name(turn.program, turn.key)] != response.body)
    world_.fail("success of " + turn.key + " is not the replica's whole sealed answer");
  ++totals.successes;
  if (attempt.urgent)
    ++totals.urgent_done;
  attempt.then(turn);
}

void Callers::count_failure(const TurnAttempt& attempt, const ProgramResponse* response, bool caller_left) {
  bool not_run = response && response->executed == Outcome::no;
  if (not_run && response->status == kStatusUnavailable)
    totals.slowest_refusal = std::max(totals.slowest_refusal, world_.now() - attempt.begun);
  if (not_run) {
    ++totals.refusals;
  } else if (!caller_left) {
    ++totals.unknowns;
    ++totals.reasons[response ? response->reason : "the session was lost"];
  }
}

bool Callers::has_later_turn(const Turn& turn) {
  const auto& turns = turns_[turn.program];
  return std::any_of(turns.begin(), turns.end(),
                     [&](const auto& other) { return other->thread == turn.thread && other->ordinal > turn.ordinal; });
}

/// A caller that knows all turns must not be told otherwise, and a program with a kept turn must not be missing.
void Callers::check_rejection(const Turn& turn, const ProgramResponse& response) {
  if (response.reason.starts_with("after:") && !has_later_turn(turn))
    world_.fail("a caller that knew all turns of " + turn.program + " was told otherwise: " + response.reason);
  if (response.status != kStatusNotFound)
    return;
  const auto& turns = turns_[turn.program];
  if (std::any_of(turns.begin(), turns.end(), [](const auto& other) { return other->success; }))
    world_.fail("a kept conversation was reported missing: " + turn.program);
}

}  // namespace mosskeel::sim
