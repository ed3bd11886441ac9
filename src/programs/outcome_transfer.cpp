#include "programs/outcome_transfer.hpp"

#include <algorithm>

#include "routing/constants.hpp"

namespace mosskeel {
namespace {

/// What the history contains under the key of a transferred outcome.
struct RecordedTurn {
  /// The newest record under the key, or null.
  const Record* latest = nullptr;
  /// Whether the thread has later records.
  bool has_successor = false;
};

RecordedTurn find_turn(const Records& records, const Record& outcome) {
  RecordedTurn turn;
  for (const auto& record : records) {
    if (record.key == outcome.key) {
      turn.latest = &record;
      turn.has_successor = false;
    } else if (turn.latest && record.thread == outcome.thread) {
      turn.has_successor = true;
    }
  }
  return turn;
}

}  // namespace

void OutcomeSender::send(OpenRequest& open, TimePoint now) {
  if (open.stage != RequestStage::transferring_outcome)
    open.waiting_since = now;
  open.stage = RequestStage::transferring_outcome;
  open.last_activity = now;
  const auto* owner = context_.owner_of(open.partition);
  if (owner)
    context_.send(*owner, TransferTurnOutcome{open.request.attempt, open.history, open.record});
}

OpenRequest* OutcomeSender::handle(const TransferTurnOutcomeReply& reply, TimePoint now) {
  auto* open = requests_.find(reply.attempt);
  if (!open || open->stage != RequestStage::transferring_outcome)
    return nullptr;
  bool is_recorded = reply.outcome == Outcome::yes;
  if (is_recorded && open->reroute_after_transfer) {
    open->reroute_after_transfer = false;
    return open;
  }
  if (is_recorded) {
    context_.outbox.log_event(Event::turn_outcome_transferred, reply.attempt);
  } else {
    ProgramResponse response{};
    response.status = 502;
    response.executed = Outcome::unknown;
    response.reason = "the outcome came too late to be kept";
    response.chunks = open->streamed_chunks;
    open->response = std::move(response);
  }
  responder_.respond(*open, now);
  return nullptr;
}

void OutcomeReceiver::handle(const Envelope& envelope, const TransferTurnOutcome& transfer, TimePoint now) {
  bool is_known = std::any_of(transfers_.begin(), transfers_.end(),
                              [&](const Transfer& pending) { return pending.message.attempt == transfer.attempt; });
  if (is_known)
    return;
  Transfer pending{transfer, envelope.from, envelope.from_incarnation, now, 0, {}};
  if (!try_complete(pending, now))
    transfers_.push_back(std::move(pending));
}

void OutcomeReceiver::advance(TimePoint now) {
  std::erase_if(transfers_, [&](Transfer& transfer) { return try_complete(transfer, now); });
}

bool OutcomeReceiver::try_complete(Transfer& transfer, TimePoint now) {
  const auto& history = transfer.message.history;
  auto state = history_writer_.open(history, now);
  bool has_timed_out = now - transfer.arrived_at > kOutcomeTransferTimeout;
  if (state == HistoryWriter::State::fenced || has_timed_out)
    return true;
  if (state != HistoryWriter::State::open)
    return false;
  auto progress = evaluate(transfer);
  if (progress == Progress::must_append) {
    transfer.term = history_writer_.term(history);
    transfer.commit_length = history_writer_.append(history, transfer.message.record, now);
    return false;
  }
  if (progress == Progress::must_wait)
    return false;
  auto answer = progress == Progress::recorded ? Outcome::yes : Outcome::no;
  TransferTurnOutcomeReply reply{transfer.message.attempt, answer};
  context_.outbox.send(transfer.reply_to, std::move(reply), transfer.reply_to_incarnation);
  return true;
}

OutcomeReceiver::Progress OutcomeReceiver::recorded_if(bool condition) {
  return condition ? Progress::recorded : Progress::refused;
}

OutcomeReceiver::Progress OutcomeReceiver::evaluate(const Transfer& transfer) const {
  const auto& history = transfer.message.history;
  const auto& outcome = transfer.message.record;
  if (history_writer_.ended(history))
    return Progress::refused;
  bool was_appended = transfer.commit_length && transfer.term == history_writer_.term(history);
  if (was_appended) {
    bool is_committed = history_writer_.committed_length(history) >= transfer.commit_length;
    return is_committed ? Progress::recorded : Progress::must_wait;
  }
  auto turn = find_turn(history_writer_.records(history), outcome);
  if (!turn.latest) {
    // Without a reservation the turn has not run, which the old owner must have reported with status 0.
    return recorded_if(outcome.status == 0);
  }
  if (turn.latest->kind == RecordKind::outcome) {
    if (!history_writer_.is_committed(history, *turn.latest))
      return Progress::must_wait;
    return recorded_if(turn.latest->status == outcome.status && turn.latest->output == outcome.output);
  }
  bool may_append = turn.latest->runner == outcome.runner && !turn.has_successor;
  return may_append ? Progress::must_append : Progress::refused;
}

}  // namespace mosskeel
