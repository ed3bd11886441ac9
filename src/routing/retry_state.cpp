#include "routing/retry_state.hpp"

#include "routing/constants.hpp"
#include "routing/route_table.hpp"

namespace mosskeel::routing {

bool RetryState::allows_retry(const Path& path, Outcome executed) const {
  bool may_run_again = executed == Outcome::no || is_idempotent(path);
  return may_run_again && has_attempts_left(path) && tried_replicas_.size() < kMaxReplicasPerRequest;
}

}  // namespace mosskeel::routing
