#include "programs/turn_owner.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "programs/constants.hpp"
#include "programs/program_request.hpp"

namespace mosskeel {
namespace {

constexpr const char* kConversationMissing =
    "the conversation is missing: a majority of its stores keeps no such turns";

RequestRejection turn_is_running() {
  return {409, "key: this turn is running now", kDefaultRetryAfter * 2, Outcome::yes};
}

/// The response to a request under a used key: the same as to the first request under that key.
ProgramResponse response_from(const Record& outcome) {
  bool succeeded = outcome.status == 200;
  ProgramResponse response{};
  response.status = outcome.status;
  response.executed = succeeded ? Outcome::yes : Outcome::unknown;
  response.reason = succeeded ? "" : "kept outcome: " + outcome.output;
  response.body = succeeded ? outcome.output : "";
  response.turn = outcome.turn;
  response.tokens = outcome.tokens;
  return response;
}

}  // namespace

bool TurnOwner::admit(OpenRequest& open, TimePoint now) {
  auto decision = decide(open, now);
  if (is_answer_from_memory(decision) && !may_answer_from_memory(open, now))
    return false;
  if (auto* rejection = std::get_if<RequestRejection>(&decision)) {
    responder_.reject(open, std::move(*rejection), now);
    return false;
  }
  if (const auto* recorded = std::get_if<RecordedOutcome>(&decision)) {
    open.response = response_from(*recorded->record);
    responder_.respond_after_stream(open, now);
    return false;
  }
  if (std::holds_alternative<AwaitsPreviousTurn>(decision)) {
    open.stage = RequestStage::awaiting_previous_turn;
    return false;
  }
  open.turn_number = std::get<Admitted>(decision).turn_number;
  open.reserved_tokens = open.request.kind == kModelRequest ? open.request.max_tokens : 0;
  open.owner_term = history_writer_.term(open.history);
  return true;
}

/// Whether the decision relies on the history in memory. A 503 does not: it states nothing that a newer owner could
/// contradict.
bool TurnOwner::is_answer_from_memory(const Decision& decision) {
  const auto* rejection = std::get_if<RequestRejection>(&decision);
  return rejection ? rejection->status != 503 : std::holds_alternative<RecordedOutcome>(decision);
}

bool TurnOwner::may_answer_from_memory(OpenRequest& open, TimePoint now) {
  switch (history_writer_.check_ownership(open.history, open.request.attempt, now)) {
    case OwnershipChecks::State::confirmed:
      // The confirmed history includes the results of the turn at earlier owners.
      open.outcome_unknown = false;
      return true;
    case OwnershipChecks::State::checking:
      open.stage = RequestStage::opening_history;
      return false;
    case OwnershipChecks::State::refuted:
      break;
  }
  context_.count("ownership_checks_refuted");
  RequestRejection rejection{503, "too few stores confirm who owns the program", kDefaultRetryAfter * 2};
  // A newer owner may have run a turn under the same key.
  bool has_own_key = open.request.key != open.request.attempt;
  bool may_have_run = open.request.kind != kHistoryRequest && has_own_key;
  rejection.executed = may_have_run ? Outcome::unknown : Outcome::no;
  responder_.reject(open, std::move(rejection), now);
  return false;
}

TurnOwner::Decision TurnOwner::decide(const OpenRequest& open, TimePoint now) {
  const auto* cell = context_.metadata().configuration.cell(open.request.cell);
  if (!cell)
    return RequestRejection{404, "cell '" + open.request.cell + "' is unknown"};
  auto turns = turns_by_key(history_writer_.records(open.history));
  auto known = turns.find(open.request.key);
  if (known != turns.end() && !known->second.has_not_run())
    return decide_known_key(open, known->second, now);
  return decide_new_turn(open, turns, *cell, now);
}

TurnOwner::Decision TurnOwner::decide_known_key(const OpenRequest& open, const KeyedTurn& turn, TimePoint now) {
  const auto& latest = *turn.latest;
  if (turn.reservation->body_digest != body_digest(open.request))
    return RequestRejection{409, "key: was used with another body"};
  if (!turn.is_open() && !history_writer_.is_committed(open.history, latest))
    return turn_is_running();
  if (!turn.is_open())
    return RecordedOutcome{&latest};
  if (turn_runners_.runs_here(open.history, open.request.key) ||
      turn_runners_.may_run_elsewhere(open.history, latest, now))
    return turn_is_running();
  context_.outbox.log_event(Event::reservation_without_outcome, open.history.program + " key " + open.request.key);
  return RequestRejection{502, "the outcome of this turn is unknown; it will not be run again", 0ms, Outcome::unknown};
}

TurnOwner::Decision TurnOwner::decide_new_turn(const OpenRequest& open, const TurnsByKey& turns, const Cell& cell,
                                               TimePoint now) {
  auto used = usage(open, turns, now);
  bool is_model_turn = open.request.kind == kModelRequest;
  const auto& expected_turns = open.request.expected_turns;
  if (is_model_turn && expected_turns && *expected_turns > 0 && used.thread_turns == 0)
    return RequestRejection{404, kConversationMissing};
  if (used.thread_is_busy) {
    if (turns_waiting_on(open.history) >= kMaxQueuedTurnsPerThread)
      return RequestRejection{503, "too many turns wait for the one before them", kDefaultRetryAfter * 2};
    return AwaitsPreviousTurn{};
  }
  if (is_model_turn && expected_turns && *expected_turns != used.thread_turns)
    return RequestRejection{409, "after: the thread has " + std::to_string(used.thread_turns) + " settled turns"};
  if (is_model_turn && used.tokens >= cell.budget)
    return RequestRejection{429, "the program's budget of " + std::to_string(cell.budget) + " tokens is spent"};
  if (history_writer_.bytes(open.history) + open.request.body.size() + kRecordOverheadBytes > kMaxHistoryBytes)
    return RequestRejection{
        413, "the program's history is full: it may hold " + std::to_string(kMaxHistoryBytes) + " bytes"};
  return Admitted{used.thread_turns + 1};
}

TurnOwner::Usage TurnOwner::usage(const OpenRequest& open, const TurnsByKey& turns, TimePoint now) {
  Usage used;
  for (const auto& [key, turn] : turns) {
    const auto& latest = *turn.latest;
    if (turn.is_open() || latest.status != 0)
      used.tokens += latest.tokens;
    if (latest.thread != open.request.thread)
      continue;
    if (!turn.is_open() && latest.status == 200)
      ++used.thread_turns;
    if (turn.is_open() &&
        (turn_runners_.runs_here(open.history, key) || turn_runners_.may_run_elsewhere(open.history, latest, now)))
      used.thread_is_busy = true;
  }
  return used;
}

size_t TurnOwner::turns_waiting_on(const HistoryName& history) const {
  return requests_.count_if([&](const OpenRequest& open) {
    return open.history == history && open.stage == RequestStage::awaiting_previous_turn;
  });
}

void TurnOwner::reserve(OpenRequest& open, TimePoint now) {
  Record reservation{};
  reservation.kind = RecordKind::reservation;
  reservation.key = open.request.key;
  reservation.thread = open.request.thread;
  reservation.body_digest = body_digest(open.request);
  reservation.tokens = open.reserved_tokens;
  reservation.turn = open.turn_number;
  reservation.runner = context_.self()->id;
  reservation.input = open.request.body;
  reservation.retention_ms = context_.metadata().configuration.cell(open.request.cell)->retention_ms;
  open.record = reservation;
  open.stage = RequestStage::reserving;
  open.commit_length = history_writer_.append(open.history, std::move(reservation), now);
}

void TurnOwner::finish(OpenRequest& open, AttemptResult result, TimePoint now) {
  replica_selector_.release(open);
  bool succeeded = result.status == 200;
  bool has_not_run = result.status == 0;
  ProgramResponse response{};
  response.status = has_not_run ? 503 : result.status;
  response.executed = result.executed;
  response.reason = result.reason;
  response.body = succeeded ? open.streamed_text : "";
  response.turn = open.turn_number;
  response.tokens = result.tokens;
  Duration retry_after = has_not_run ? kDefaultRetryAfter : 0ms;
  response.retry_ms = static_cast<uint32_t>(retry_after.count());
  response.chunks = open.streamed_chunks;
  open.response = std::move(response);
  if (open.is_stateless)
    return responder_.respond(open, now);
  auto& outcome = open.record;
  outcome.kind = RecordKind::outcome;
  outcome.status = result.status;
  outcome.tokens = result.tokens;
  outcome.output = succeeded ? open.streamed_text : result.reason;
  outcome.input.clear();
  if (const auto* cell = context_.metadata().configuration.cell(open.request.cell))
    outcome.retention_ms = std::max(outcome.retention_ms, cell->retention_ms);
  if (history_writer_.term(open.history) != open.owner_term) {
    open.waiting_since = now;
    return outcome_sender_.send(open, now);
  }
  open.stage = RequestStage::committing_outcome;
  open.commit_length = history_writer_.append(open.history, outcome, now);
}

void TurnOwner::report_history(OpenRequest& open, TimePoint now) {
  const auto& records = history_writer_.records(open.history);
  if (records.empty())
    return responder_.reject(open, {404, kConversationMissing}, now);
  const auto* cell = context_.metadata().configuration.cell(open.request.cell);
  auto committed_length = std::min<size_t>(history_writer_.committed_length(open.history), records.size());
  ProgramResponse response{};
  response.status = 200;
  response.executed = Outcome::yes;
  response.body =
      history_json(open.request.program, std::span(records).first(committed_length), cell ? cell->budget : 0);
  open.response = std::move(response);
  responder_.respond(open, now);
}

}  // namespace mosskeel
