#include "routing/turn_coordinator.hpp"

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"
#include "history/record_bytes.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {
namespace {

/// Stands for the cell of programs on HTTP paths, which have none. No configured cell can have this name.
constexpr const char* kPathCell = "=";

Record reservation_record(const ReserveTurn& request, DaemonId gateway) {
  Record record{};
  record.kind = RecordKind::reservation;
  record.key = request.attempt;
  record.tokens = request.max_tokens;
  record.runner = gateway;
  record.retention_ms = request.retention_ms;
  record.parent = request.parent;
  if (request.keep_history)
    record.input = request.input;
  return record;
}

Record outcome_record(const CommitTurn& request) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = request.attempt;
  record.status = request.status;
  record.tokens = request.tokens;
  if (request.keep_output)
    record.output = request.output;
  return record;
}

/// Stores the whole chain of another program's turn as the output of a single turn.
Record imported_record(const FindChainReply& reply, int64_t retention_ms) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = reply.turn;
  record.status = 200;
  record.retention_ms = retention_ms;
  record.output = reply.text;
  return record;
}

}  // namespace

HistoryName turn_history_name(const std::string& program) {
  return {kPathCell, program};
}

bool TurnCoordinator::handle(const Envelope& envelope, TimePoint now) {
  if (auto* request = std::get_if<ReserveTurn>(&envelope.body)) {
    handle(*request, envelope, now);
    return true;
  }
  if (auto* request = std::get_if<CommitTurn>(&envelope.body)) {
    handle(*request, envelope, now);
    return true;
  }
  if (auto* reply = std::get_if<FindChainReply>(&envelope.body)) {
    handle(*reply, envelope, now);
    return true;
  }
  return false;
}

void TurnCoordinator::handle(const ReserveTurn& request, const Envelope& envelope, TimePoint now) {
  auto [entry, inserted] = reservations_.try_emplace(request.attempt);
  if (inserted)
    entry->second = pending(request, envelope, now);
  if (advance(entry->second, now) == Progress::answered)
    reservations_.erase(entry);
}

void TurnCoordinator::handle(const CommitTurn& request, const Envelope& envelope, TimePoint now) {
  auto reservation = reservations_.find(request.attempt);
  if (reservation != reservations_.end() && reservation->second.from == envelope.from)
    reservations_.erase(reservation);
  auto [entry, inserted] = commits_.try_emplace(request.attempt);
  if (inserted)
    entry->second = pending(request, envelope, now);
  if (advance(entry->second, now) == Progress::answered)
    commits_.erase(entry);
}

void TurnCoordinator::handle(const FindChainReply& reply, const Envelope& envelope, TimePoint now) {
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!store)
    return;
  auto awaits_reply = [&](const PendingReservation& pending) {
    return pending.chain_search.active() && pending.body.parent == reply.turn;
  };
  advance_if(reservations_, now, [&](PendingReservation& pending) {
    if (!awaits_reply(pending))
      return false;
    if (reply.found) {
      import_chain(pending, reply, now);
      pending.chain_search.on_found();
    } else {
      pending.chain_search.on_missing(store->id);
    }
    return true;
  });
}

/// The whole chain is written as one record, because the owner may change at any point: a store then has either all of
/// it or nothing.
void TurnCoordinator::import_chain(const PendingReservation& pending, const FindChainReply& reply, TimePoint now) {
  if (!is_owner(pending.history))
    return;
  if (history_writer_.open(pending.history, now) != HistoryWriter::State::open)
    return;
  if (index(pending.history).find(reply.turn))
    return;
  history_writer_.append(pending.history, imported_record(reply, pending.body.retention_ms), now);
}

TurnCoordinator::Progress TurnCoordinator::advance(PendingReservation& pending, TimePoint now) {
  if (auto progress = open_history(pending, now))
    return *progress;
  auto& turns = index(pending.history);
  if (auto progress = append_reservation(pending, turns, now))
    return *progress;
  if (history_writer_.committed_length(pending.history) < pending.required_length)
    return Progress::waiting;
  auto& request = pending.body;
  auto chain = request.parent.empty() ? "" : turns.chain_text(history_writer_.records(pending.history), request.parent);
  outbox_.send(pending.from, ReserveTurnReply{request.attempt, 200, 0, {}, std::move(chain)}, pending.incarnation);
  return Progress::answered;
}

std::optional<TurnCoordinator::Progress> TurnCoordinator::open_history(PendingReservation& pending, TimePoint now) {
  if (!is_owner(pending.history))
    return reject(pending, 0, "another gateway owns the program");
  switch (history_writer_.open(pending.history, now)) {
    case HistoryWriter::State::open:
      break;
    case HistoryWriter::State::unavailable:
      return reject(pending, 503, "too few stores answer", kDefaultRetryAfter);
    case HistoryWriter::State::fenced:
      return reject(pending, 0, "another gateway owns the program");
    case HistoryWriter::State::opening:
      return Progress::waiting;
  }
  if (history_writer_.ended(pending.history)) {
    constexpr const char* kRetentionOver = "the program's retention is over";
    if (pending.body.parent.empty())
      return reject(pending, 503, kRetentionOver, kDefaultRetryAfter);
    return reject_from_memory(pending, 404, kRetentionOver, now);
  }
  return std::nullopt;
}

std::optional<TurnCoordinator::Progress> TurnCoordinator::append_reservation(PendingReservation& pending,
                                                                             const TurnIndex& index, TimePoint now) {
  auto& request = pending.body;
  if (auto* turn = index.find(request.attempt); turn && turn->reservation) {
    if (turn->outcome)
      return reject_from_memory(pending, 409, "this attempt has an outcome already", now);
    if (!is_granted_to(pending.history, *turn->reservation, pending.incarnation))
      return reject_from_memory(pending, 409, "this attempt was granted to another gateway", now);
    pending.required_length = *turn->reservation + 1;
  }
  if (pending.required_length > 0)
    return std::nullopt;
  if (auto progress = check_parent(pending, index, now))
    return progress;
  if (index.spent_tokens() + index.reserved_tokens() + request.max_tokens > request.budget)
    return reject_from_memory(pending, 402, "the program's budget is spent", now);
  auto* gateway = metadata_log_.view()->find(pending.incarnation);
  auto record = reservation_record(request, gateway ? gateway->id : DaemonId{});
  if (history_writer_.bytes(pending.history) + bytes_of(record) > kMaxHistoryBytes)
    return reject_from_memory(pending, 413, "the program's history is full", now);
  pending.required_length = history_writer_.append(pending.history, std::move(record), now);
  this->index(pending.history);
  return std::nullopt;
}

std::optional<TurnCoordinator::Progress> TurnCoordinator::check_parent(PendingReservation& pending,
                                                                       const TurnIndex& index, TimePoint now) {
  auto& parent = pending.body.parent;
  if (parent.empty())
    return std::nullopt;
  auto* turn = index.find(parent);
  if (!turn)
    return search_chain(pending, now);
  if (!turn->outcome)
    return reject(pending, 503, "the turn before this one, " + parent + ", has no outcome yet", kDefaultRetryAfter / 2);
  if (turn->status != 200)
    return reject_from_memory(pending, 404, "the turn before this one did not end whole", now);
  return std::nullopt;
}

TurnCoordinator::Progress TurnCoordinator::search_chain(PendingReservation& pending, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  switch (pending.chain_search.advance(outbox_, metadata, pending.body.parent, pending.received_at, now)) {
    case ChainSearch::State::missing:
      return reject(pending, 404, "no store keeps the turn before this one");
    case ChainSearch::State::timed_out:
      return reject(pending, 503, "not all stores answer for the turn before", kDefaultRetryAfter);
    case ChainSearch::State::searching:
      break;
  }
  return Progress::waiting;
}

TurnCoordinator::Progress TurnCoordinator::reject_from_memory(const PendingReservation& pending, uint32_t status,
                                                              std::string reason, TimePoint now) {
  switch (history_writer_.check_ownership(pending.history, pending.body.attempt, now)) {
    case OwnershipChecks::State::confirmed:
      return reject(pending, status, std::move(reason));
    case OwnershipChecks::State::refuted:
      return reject(pending, 503, "too few stores confirm who owns the program", kDefaultRetryAfter);
    case OwnershipChecks::State::checking:
      break;
  }
  return Progress::waiting;
}

TurnCoordinator::Progress TurnCoordinator::reject(const PendingReservation& pending, uint32_t status,
                                                  std::string reason, Duration retry_after) {
  auto retry_after_ms = static_cast<uint32_t>(retry_after.count());
  outbox_.send(pending.from, ReserveTurnReply{pending.body.attempt, status, retry_after_ms, std::move(reason), {}},
               pending.incarnation);
  return Progress::answered;
}

TurnCoordinator::Progress TurnCoordinator::advance(PendingCommit& pending, TimePoint now) {
  // The gateway retries, and finds the new owner.
  if (!is_owner(pending.history))
    return Progress::answered;
  if (history_writer_.open(pending.history, now) != HistoryWriter::State::open)
    return now - pending.received_at > kHistoryQuorumTimeout ? Progress::answered : Progress::waiting;
  auto* turn = index(pending.history).find(pending.body.attempt);
  if (!turn || !turn->reservation)
    return acknowledge_failure(pending, now);
  if (!is_granted_to(pending.history, *turn->reservation, pending.incarnation))
    return acknowledge_failure(pending, now);
  if (turn->outcome) {
    if (turn->status != pending.body.status)
      return acknowledge_failure(pending, now);
    pending.required_length = *turn->outcome + 1;
  } else {
    pending.required_length = history_writer_.append(pending.history, outcome_record(pending.body), now);
    index(pending.history);
  }
  if (history_writer_.committed_length(pending.history) < pending.required_length)
    return Progress::waiting;
  return acknowledge(pending, true);
}

/// Without confirmation by the stores the gateway gets no answer: it retries until it finds the owner.
TurnCoordinator::Progress TurnCoordinator::acknowledge_failure(const PendingCommit& pending, TimePoint now) {
  switch (history_writer_.check_ownership(pending.history, pending.body.attempt, now)) {
    case OwnershipChecks::State::confirmed:
      return acknowledge(pending, false);
    case OwnershipChecks::State::refuted:
      return Progress::answered;
    case OwnershipChecks::State::checking:
      break;
  }
  return Progress::waiting;
}

TurnCoordinator::Progress TurnCoordinator::acknowledge(const PendingCommit& pending, bool committed) {
  outbox_.send(pending.from, CommitTurnReply{pending.body.attempt, committed}, pending.incarnation);
  return Progress::answered;
}

template <class Requests, class Predicate>
void TurnCoordinator::advance_if(Requests& requests, TimePoint now, const Predicate& selected) {
  for (auto entry = requests.begin(); entry != requests.end();) {
    auto& pending = entry->second;
    if (selected(pending) && advance(pending, now) == Progress::answered)
      entry = requests.erase(entry);
    else
      ++entry;
  }
}

void TurnCoordinator::advance(const std::set<HistoryName>& changed, TimePoint now) {
  auto has_changed = [&](const auto& pending) {
    return changed.count(pending.history) > 0;
  };
  advance_if(reservations_, now, has_changed);
  advance_if(commits_, now, has_changed);
}

void TurnCoordinator::tick(TimePoint now) {
  auto all = [](const auto&) {
    return true;
  };
  advance_if(reservations_, now, all);
  advance_if(commits_, now, all);
  std::erase_if(indexes_, [&](auto& entry) { return history_writer_.term(entry.first) != entry.second.term(); });
}

bool TurnCoordinator::is_owner(const HistoryName& history) const {
  auto* owner = find_owner(*metadata_log_.view(), partition_of(history.cell, history.program));
  return owner && owner->self.incarnation == outbox_.id().self.incarnation;
}

bool TurnCoordinator::is_granted_to(const HistoryName& history, size_t reservation, Incarnation gateway) const {
  auto runner = history_writer_.records(history)[reservation].runner;
  auto* daemon = metadata_log_.view()->find(gateway);
  return runner == DaemonId{} || !daemon || daemon->id == runner;
}

TurnIndex& TurnCoordinator::index(const HistoryName& history) {
  auto& index = indexes_[history];
  auto& records = history_writer_.records(history);
  auto term = history_writer_.term(history);
  if (index.term() != term || records.size() < index.length())
    index = TurnIndex(term);
  index.update(records);
  return index;
}

}  // namespace mosskeel
