#include "routing/retry_state.hpp"

#include "routing/constants.hpp"
#include "routing/route_table.hpp"

namespace mosskeel::routing {

bool RetryState::allows_retry(const Path& path, Outcome ran) const {
  bool may_run_again = ran == Outcome::no || is_idempotent(path);
  return may_run_again && has_attempts_left(path) && tried_replicas_.size() < kMaxReplicasPerRequest;
}

}  // namespace mosskeel::routing
