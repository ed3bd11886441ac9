#pragma once
// Whether the head of a replica's response may be passed on.
#include "routing/active_request.hpp"

namespace mosskeel::routing {

/// What the head of a response means for the attempt that awaits it.
enum class ResponseVerdict {
  accepted,       ///< the response to this attempt
  stale,          ///< the late response to the attempt before on the connection: this one's comes behind it
  not_run,        ///< the replica has not run the request and never will
  not_trustable,  ///< another request's response, or one that claims what only this system may claim
};

/// Checks a head against the request whose attempt awaits it. A response is only accepted with the request's own
/// attempt id, with the replica's seal where it reports success, and with a status that does not promise the caller
/// that nothing has run: only the mark for "not run" may do that.
ResponseVerdict check_response(const ActiveRequest& request, const ResponseHeadersReceived& event,
                               const ResponseHeaders& headers);

}  // namespace mosskeel::routing
