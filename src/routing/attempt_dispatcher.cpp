#include "routing/attempt_dispatcher.hpp"

#include "routing/constants.hpp"

namespace mosskeel::routing {
namespace {

/// The only scheme of replica URLs.
constexpr std::string_view kReplicaScheme = "http://";

}  // namespace

void AttemptDispatcher::update(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
  if (snapshot == snapshot_)
    return;
  bool new_metadata = !snapshot_ || snapshot_->view != snapshot->view;
  bool new_configuration = !snapshot_ || snapshot_->view->revision != snapshot->view->revision;
  snapshot_ = std::move(snapshot);
  if (new_metadata)
    load_balancer_.update(*snapshot_, now);
  if (new_configuration)
    routes_ = std::make_shared<RouteTable>(snapshot_->view);
}

AttemptDispatcher::QueueKey AttemptDispatcher::queue_key(const ActiveRequest& request) {
  return {request.path->rank, request.received_at, request.id};
}

std::optional<AttemptDispatcher::Result> AttemptDispatcher::update_route(ActiveRequest& request) {
  if (request.view->revision == routes_->view()->revision)
    return std::nullopt;
  auto* path = routes_->find(request.request.host, request.request.target);
  if (!path)
    return Result::no_route;
  if (path->kind != request.path->kind || path->kept != request.path->kept)
    return Result::route_changed;
  queue_.erase(queue_key(request));
  request.route_to(*path, routes_->view());
  return std::nullopt;
}

AttemptDispatcher::Result AttemptDispatcher::dispatch(ActiveRequest& request, TimePoint now, Actions& actions) {
  if (auto failure = update_route(request))
    return *failure;
  ReplicaChoice choice;
  bool may_send = has_majority_contact(now);
  auto& tried = request.retry.tried_replicas();
  if (may_send)
    choice = load_balancer_.choose({request.service, request.affinity_hash, &tried}, now);
  if (choice.replica) {
    queue_.erase(queue_key(request));
    send(request, *choice.replica, now, actions);
    return Result::sent;
  }
  if (may_send && !choice.has_candidates && !tried.empty())
    return Result::no_replica;
  queue_.insert(queue_key(request));
  return Result::queued;
}

void AttemptDispatcher::send(ActiveRequest& request, const Replica& replica, TimePoint now, Actions& actions) {
  UpstreamAttempt attempt;
  attempt.number = ++last_attempt_;
  attempt.replica = replica.name;
  request_by_attempt_[attempt.number] = request.id;
  load_balancer_.on_attempt_started(replica.name);
  request.retry.on_sent(replica.name);

  auto& original = request.request;
  SendToReplica action{attempt.number,
                       replica.url.substr(kReplicaScheme.size()),
                       original.method,
                       original.target,
                       original.fields,
                       {},
                       {},
                       {}};
  if (request.turn)
    action.body = request.turn->chain;
  action.body += original.body;
  action.attempt_id = request.headers.attempt_id;
  action.max_idle = is_idempotent(*request.path) ? Duration::max() : kMaxReuseIdle;
  codec_.set_upstream_headers(action.fields, replica.name, request.deadline - now, std::nullopt);
  actions.push_back(std::move(action));
  request.attempt = std::move(attempt);
}

RequestId AttemptDispatcher::request_of(AttemptNumber attempt) const {
  auto found = request_by_attempt_.find(attempt);
  return found == request_by_attempt_.end() ? 0 : found->second;
}

void AttemptDispatcher::release(const UpstreamAttempt& attempt) {
  load_balancer_.on_attempt_finished(attempt.replica);
  request_by_attempt_.erase(attempt.number);
}

void AttemptDispatcher::end_attempt(ActiveRequest& request) {
  if (!request.attempt)
    return;
  release(*request.attempt);
  request.attempt.reset();
}

void AttemptDispatcher::forget(const ActiveRequest& request) {
  if (request.attempt)
    release(*request.attempt);
  queue_.erase(queue_key(request));
}

std::vector<RequestId> AttemptDispatcher::queued() const {
  std::vector<RequestId> ids;
  ids.reserve(queue_.size());
  for (auto& key : queue_)
    ids.push_back(key.id);
  return ids;
}

}  // namespace mosskeel::routing
