#include "routing/active_request.hpp"

#include <algorithm>

#include "routing/constants.hpp"
#include "routing/route_table.hpp"

namespace mosskeel::routing {
namespace {

/// A turn that puts out far more events than its caller has said is a replica's fault; a little more is not.
constexpr uint64_t kEventMarginFactor = 2;
constexpr uint64_t kEventMargin = 16;

}  // namespace

bool ActiveRequest::runs_once() const {
  return turn || !is_idempotent(*path);
}

void ActiveRequest::route_to(const Path& new_path, const MetadataSnapshot& new_view) {
  view = new_view;
  path = &new_path;
  // All turns of a program use the same service, as do all retries of one attempt.
  auto& identity = headers.program_id.empty() ? headers.attempt_id : headers.program_id;
  auto* selected = select_service(new_path, digest(identity));
  service = selected ? *selected : "";
}

uint64_t ActiveRequest::tokens_per_event() const {
  auto* configured_service = view->configuration.service(service);
  return configured_service && configured_service->event_tokens ? configured_service->event_tokens : 1;
}

uint64_t ActiveRequest::streamed_tokens() const {
  return turn->events.events() * tokens_per_event();
}

uint64_t ActiveRequest::max_events() const {
  auto tokens = headers.max_output_tokens;
  return tokens ? tokens / tokens_per_event() * kEventMarginFactor + kEventMargin : UINT64_MAX;
}

size_t ActiveRequest::held_response_bytes() const {
  return (attempt ? attempt->buffered_body.size() : 0) + (turn ? turn->events.held_bytes() : 0);
}

ActiveRequest make_active_request(RequestReceived&& event, const RequestHeaders& headers, const Path& path,
                                  const MetadataSnapshot& view, TimePoint now) {
  ActiveRequest request;
  request.id = event.request_id;
  request.request = std::move(event.request);
  request.headers = headers;
  request.route_to(path, view);
  request.received_at = now;
  Duration path_timeout{path.timeout_ms};
  request.deadline = now + std::min(headers.time_left.value_or(path_timeout), path_timeout);
  auto max_wait = path.target_ms > 0 ? Duration(path.target_ms) / 4 : kMaxReplicaWait;
  request.wait_until = now + std::min(max_wait, kMaxReplicaWait);

  bool streaming = path.path_kind() == PathKind::streaming;
  if (streaming && !headers.program_id.empty()) {
    request.affinity_hash = digest(headers.program_id);
    request.turn.emplace();
    request.turn->events = EventReader(path.kept);
  } else if ((path.sticky || streaming) && !headers.affinity_key.empty()) {
    request.affinity_hash = digest(headers.affinity_key);
  }
  return request;
}

ReserveTurn make_reservation(const ActiveRequest& request, TimePoint now) {
  auto& headers = request.headers;
  auto& path = *request.path;
  ReserveTurn reservation{};
  reservation.attempt = headers.attempt_id;
  reservation.program = headers.program_id;
  reservation.parent = headers.previous_turn;
  if (path.kept)
    reservation.input = request.request.body;
  reservation.budget = headers.token_budget.value_or(UINT64_MAX);
  reservation.max_tokens = headers.max_output_tokens;
  reservation.keep_history = path.kept;
  reservation.retention_ms = std::max(path.retention_ms, kMinTurnRetention.count());
  reservation.timeout_ms = (request.deadline - now).count();
  return reservation;
}

CommitTurn make_outcome(const ActiveRequest& request, uint32_t status) {
  CommitTurn outcome{};
  outcome.attempt = request.headers.attempt_id;
  outcome.program = request.headers.program_id;
  outcome.status = status;
  outcome.tokens = request.streamed_tokens();
  outcome.keep_output = request.path->kept && status == 200;
  if (outcome.keep_output)
    outcome.output = request.turn->events.data();
  return outcome;
}

}  // namespace mosskeel::routing
