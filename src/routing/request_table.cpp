#include "routing/request_table.hpp"

#include "routing/route_table.hpp"

namespace mosskeel::routing {

RequestTable::Duplicate RequestTable::find_duplicate(const std::string& attempt_id) const {
  if (id_by_attempt_.count(attempt_id))
    return Duplicate::in_progress;
  return may_have_run_.contains(attempt_id) ? Duplicate::may_have_run : Duplicate::none;
}

ActiveRequest& RequestTable::add(ActiveRequest request) {
  if (request.runs_once())
    id_by_attempt_[request.headers.attempt_id] = request.id;
  auto id = request.id;
  return requests_.emplace(id, std::move(request)).first->second;
}

ActiveRequest* RequestTable::find(RequestId id) {
  auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

ActiveRequest* RequestTable::find_turn(const std::string& attempt_id) {
  auto id = id_by_attempt_.find(attempt_id);
  auto* request = id == id_by_attempt_.end() ? nullptr : find(id->second);
  return request && request->turn ? request : nullptr;
}

void RequestTable::remove(const ActiveRequest& request) {
  auto id = request.id;
  auto& attempt_id = request.headers.attempt_id;
  if (request.may_have_run() && !is_idempotent(*request.path))
    may_have_run_.add(attempt_id);
  if (auto found = id_by_attempt_.find(attempt_id); found != id_by_attempt_.end() && found->second == id)
    id_by_attempt_.erase(found);
  requests_.erase(id);
}

HeldBytes RequestTable::held_bytes() const {
  HeldBytes held;
  for (auto& [id, request] : requests_) {
    held.requests += request.request.body.size();
    if (request.attempt)
      held.buffered_responses += request.attempt->buffered_body.size();
    if (request.turn) {
      held.chains += request.turn->chain.size();
      held.turn_outputs += request.turn->events.held_bytes();
    }
  }
  return held;
}

std::vector<RequestId> RequestTable::ids() const {
  std::vector<RequestId> ids;
  ids.reserve(requests_.size());
  for (auto& [id, request] : requests_)
    ids.push_back(id);
  return ids;
}

}  // namespace mosskeel::routing
