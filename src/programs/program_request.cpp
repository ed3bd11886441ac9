#include "programs/program_request.hpp"

#include <algorithm>

#include "programs/constants.hpp"

namespace mosskeel {

const Route* find_route(const Cell& cell, const ProgramRequest& request) {
  auto found = std::find_if(cell.routes.begin(), cell.routes.end(), [&](const Route& route) {
    return route.name == request.route && route.kind == request.kind;
  });
  return found == cell.routes.end() ? nullptr : &*found;
}

Duration request_timeout(const ProgramRequest& request) {
  bool names_deadline = request.deadline_ms > 0 && request.deadline_ms <= kDefaultRequestTimeout.count();
  return names_deadline ? Duration(request.deadline_ms) : kDefaultRequestTimeout;
}

uint64_t body_digest(const ProgramRequest& request) {
  return digest(request.body + '\0' + request.path);
}

}  // namespace mosskeel
