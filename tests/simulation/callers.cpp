// Sessions of simulated callers, and the turns of their programs.
#include "simulation/callers.hpp"

#include <algorithm>

namespace mosskeel::sim {
namespace {

/// Retry delay where the response does not state one.
constexpr Duration kDefaultRetry = 300ms;
/// Retry delay if no gateway is available.
constexpr Duration kNoGatewayRetry = 1000ms;
/// Upper bound of the random delay added to each retry.
constexpr Duration kRetryVariation = 200ms;
/// Longer than the limit of any request.
constexpr Duration kFullTimeout = 45000ms;
/// Probability that a caller closes its session early.
constexpr double kLeavesEarly = 0.03;
constexpr Duration kEarlyLeave = 400ms;
/// A caller of a frozen gateway disconnects after this time plus up to `kFrozenVariation`.
constexpr Duration kFrozenTimeout = 500ms;
constexpr Duration kFrozenVariation = 4000ms;
/// Pauses between the turns of a program are shorter than this.
constexpr Duration kThinkTime = 500ms;
/// The deadline that the caller states for a turn.
constexpr int64_t kTurnDeadlineMs = 30000;
constexpr int kLongProgramTurns = 10;
constexpr int kMinTurns = 2;
/// A short program has fewer than this many turns beyond `kMinTurns`.
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

/// Whether a retry cannot change the answer.
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
    on_message(node, envelope);
  };
  world.replica = [this](Node& node, const Envelope& envelope) {
    handle_replica_call(node, envelope);
  };
  world.died = [this](Node& node) {
    close_sessions(node);
  };
}

Address Callers::open_session(const std::string& process, MessageHandler on_message, std::function<void()> lost) {
  auto address = "local:" + std::to_string(++last_number_);
  sessions_[{process, address}] = {std::move(on_message), std::move(lost)};
  return address;
}

void Callers::on_message(const Node& node, const Envelope& envelope) {
  auto found = sessions_.find({node.name, envelope.to});
  if (found == sessions_.end())
    return;
  auto handler = found->second.on_message;
  handler(envelope.body);
}

/// Callers connected to a process notice its end one millisecond later.
void Callers::close_sessions(const Node& node) {
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

void Callers::send(const std::string& gateway, ProgramRequest request, MessageHandler on_message) {
  auto session = open_session(gateway, std::move(on_message), [] {});
  post(gateway, session, std::move(request));
}

/// A random running gateway, or a random ready one if `only_ready` is set; empty if there is none.
std::string Callers::pick_gateway() {
  std::vector<std::string> choices;
  for (const auto& name : world_.names(Kind::gateway)) {
    bool usable = settings.only_ready ? world_.alive(name) && world_.ready(name) : world_.node(name).machine != nullptr;
    if (usable)
      choices.push_back(name);
  }
  return choices.empty() ? "" : choices[world_.next_random() % choices.size()];
}

/// How long a caller keeps its session open. Some callers disconnect early, and none waits long for a frozen gateway.
Duration Callers::session_timeout(const std::string& gateway) {
  if (world_.node(gateway).frozen)
    return kFrozenTimeout + world_.below(kFrozenVariation);
  if (world_.chance(kLeavesEarly))
    return 1ms + world_.below(kEarlyLeave);
  return kFullTimeout;
}

void Callers::traffic(Duration gap, TimePoint end) {
  if (world_.now() >= end)
    return;
  if (world_.chance(0.5))
    fetch();
  if (world_.chance(0.5))
    count();
  bool is_long = settings.long_program_share && world_.next_random() % settings.long_program_share == 0;
  int turns = is_long ? kLongProgramTurns : kMinTurns + static_cast<int>(world_.below(kTurnVariation));
  continue_program("p" + std::to_string(++last_number_), turns, 0);
  world_.at(world_.now() + 1ms + world_.below(gap * 2), [=, this] { traffic(gap, end); });
}

/// Runs the turn with this index and then the following ones. Some programs also start sub-agents, and some callers do
/// not retry.
void Callers::continue_program(const std::string& name, int turns, int index) {
  constexpr double sub_agent_share = 0.3;
  constexpr double no_retry_share = 0.25;
  if (index >= turns)
    return;
  bool may_have_sub_agent = settings.sub_agents && (index == 1 || turns == kLongProgramTurns);
  if (may_have_sub_agent && world_.chance(sub_agent_share))
    turn(name, "helper" + std::to_string(index), [](const Turn&) {});
  auto start_next_turn = [=, this](const Turn&) {
    world_.at(world_.now() + world_.below(kThinkTime), [=, this] { continue_program(name, turns, index + 1); });
  };
  bool may_retry = !world_.chance(no_retry_share);
  turn(name, "main", start_next_turn, may_retry);
}

/// Number of turns in the thread; unset if the outcome of a turn is unknown to the caller.
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

void Callers::turn(const std::string& program, const std::string& thread, TurnHandler on_done, bool may_retry) {
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
  attempt_turn(turn, std::move(on_done), may_retry);
}

void Callers::attempt_turn(std::shared_ptr<Turn> turn, TurnHandler on_done, bool may_retry) {
  ++turn->tries;
  auto gateway = pick_gateway();
  if (gateway.empty())
    return retry_turn(turn, on_done, may_retry, kNoGatewayRetry);
  auto attempt = std::make_shared<TurnAttempt>();
  attempt->turn = turn;
  attempt->on_done = std::move(on_done);
  attempt->may_retry = may_retry;
  attempt->begun = world_.now();
  attempt->urgent = settings.urgent_share && world_.next_random() % settings.urgent_share == 0;
  if (attempt->urgent)
    ++totals.urgent_requested;
  turn->chunks = 0;
  turn->text.clear();
  send_turn(gateway, attempt);
}

void Callers::send_turn(const std::string& gateway, const std::shared_ptr<TurnAttempt>& attempt) {
  auto session = open_session(
      gateway, [=, this](const Message& message) { handle_turn_message(attempt, message); },
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
  world_.at(world_.now() + session_timeout(gateway), [=, this] { settle_turn(attempt, nullptr, true); });
}

void Callers::handle_turn_message(const std::shared_ptr<TurnAttempt>& attempt, const Message& message) {
  if (attempt->settled)
    return;
  auto& turn = *attempt->turn;
  if (const auto* chunk = std::get_if<ProgramResponseChunk>(&message)) {
    if (chunk->index != turn.chunks)
      world_.fail("stream of " + turn.key + " skips or repeats chunks: got " + std::to_string(chunk->index) +
                  ", expected " + std::to_string(turn.chunks));
    ++turn.chunks;
    turn.text += chunk->text;
  }
  if (const auto* response = std::get_if<ProgramResponse>(&message))
    settle_turn(attempt, response, false);
}

/// Ends one attempt: on a response, on a lost session (no response) or because the caller disconnected.
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
    return attempt->on_done(turn);
  }
  auto wait = response && response->retry_ms ? Duration(response->retry_ms) : kDefaultRetry;
  retry_turn(attempt->turn, attempt->on_done, attempt->may_retry, wait);
}

void Callers::retry_turn(std::shared_ptr<Turn> turn, TurnHandler on_done, bool may_retry, Duration wait) {
  auto max_tries = may_retry ? settings.max_tries : 1U;
  if (turn->tries >= max_tries) {
    turn->done = true;
    return on_done(*turn);
  }
  world_.at(world_.now() + wait + world_.below(kRetryVariation), [=, this] { attempt_turn(turn, on_done, may_retry); });
}

/// A successful response must equal the concatenated chunks and the replica's complete sealed answer.
void Callers::succeed(TurnAttempt& attempt, const ProgramResponse& response) {
  auto& turn = *attempt.turn;
  turn.success = true;
  turn.done = true;
  turn.output = response.body;
  if (turn.chunks && (turn.chunks != response.chunks || turn.text != response.body))
    world_.fail("stream of " + turn.key + " differs from the answer: " + turn.text + " / " + response.body);
  if (sealed_[turn_name(turn.program, turn.key)] != response.body)
    world_.fail("success of " + turn.key + " is not the replica's whole sealed answer");
  ++totals.successes;
  if (attempt.urgent)
    ++totals.urgent_done;
  attempt.on_done(turn);
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

/// A caller that knows all turns must not be told of a later one, and a program with an acknowledged turn must not be
/// reported missing.
void Callers::check_rejection(const Turn& turn, const ProgramResponse& response) {
  if (response.reason.starts_with("after:") && !has_later_turn(turn))
    world_.fail("a caller that knew all turns of " + turn.program + " was told of a later turn: " + response.reason);
  if (response.status != kStatusNotFound)
    return;
  const auto& turns = turns_[turn.program];
  if (std::any_of(turns.begin(), turns.end(), [](const auto& other) { return other->success; }))
    world_.fail("an acknowledged program was reported missing: " + turn.program);
}

}  // namespace mosskeel::sim
