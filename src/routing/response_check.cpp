#include "routing/response_check.hpp"

namespace mosskeel::routing {
namespace {

/// Statuses that tell a caller that nothing has run and nothing will.
bool promises_not_run(uint32_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(uint32_t status) {
  return status >= 200 && status < 300;
}

}  // namespace

ResponseVerdict check_response(const ActiveRequest& request, const ResponseHeadersReceived& event,
                               const ResponseHeaders& headers) {
  bool names_attempt = !headers.attempt_id.empty();
  bool own = headers.attempt_id == request.headers.attempt_id || (headers.not_run && !names_attempt);
  if (!own) {
    bool to_previous_attempt = names_attempt && headers.attempt_id == event.previous_attempt_id;
    bool first_to_skip = !request.attempt->skipped_stale_response;
    return to_previous_attempt && first_to_skip ? ResponseVerdict::stale : ResponseVerdict::not_trustable;
  }
  if (headers.not_run)
    return ResponseVerdict::not_run;
  if (is_success(event.status) && !headers.sealed)
    return ResponseVerdict::not_trustable;
  return promises_not_run(event.status) ? ResponseVerdict::not_trustable : ResponseVerdict::accepted;
}

}  // namespace mosskeel::routing
