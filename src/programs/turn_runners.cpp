#include "programs/turn_runners.hpp"

#include "history/constants.hpp"

namespace mosskeel {

bool TurnRunners::runs_here(const HistoryName& history, const std::string& key) const {
  return requests_.contains_if([&](const OpenRequest& open) {
    bool may_run = open.stage >= RequestStage::reserving && open.stage <= RequestStage::transferring_outcome;
    return open.history == history && open.request.key == key && may_run;
  });
}

bool TurnRunners::may_run_elsewhere(const HistoryName& history, const Record& reservation, TimePoint now) {
  const auto* runner = context_.metadata().find(reservation.runner);
  if (!runner || context_.is_self(*runner) || !is_in_service(*runner))
    return false;
  auto& query = queries_[{history, reservation.key, reservation.runner}];
  if (!query.is_denied && now - query.sent_at >= kStoreRetryInterval) {
    query.sent_at = now;
    context_.send(*runner, QueryTurnRunner{history, reservation.key});
  }
  return !query.is_denied;
}

void TurnRunners::handle(const Envelope& envelope, const QueryTurnRunner& query) {
  bool running = runs_here(query.history, query.key) || turn_client_.is_in_flight(query.key);
  QueryTurnRunnerReply reply{query.history, query.key, running};
  context_.outbox.send(envelope.from, std::move(reply), envelope.from_incarnation);
}

void TurnRunners::handle(const Envelope& envelope, const QueryTurnRunnerReply& reply) {
  const auto* runner = context_.metadata().find(envelope.from_incarnation);
  if (!runner)
    return;
  auto query = queries_.find({reply.history, reply.key, runner->id});
  if (query != queries_.end() && !reply.running)
    query->second.is_denied = true;
}

void TurnRunners::expire(TimePoint now) {
  std::erase_if(queries_, [now](const auto& entry) { return now - entry.second.sent_at > kIdleHistoryTimeout; });
}

}  // namespace mosskeel
