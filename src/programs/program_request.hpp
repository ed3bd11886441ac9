#pragma once
// Kinds of callers' requests, and the route of a cell that serves one.
#include <string_view>

#include "messages/message.hpp"

namespace mosskeel {

/// `ProgramRequest::kind`: a turn of a program, run by a model replica.
inline constexpr std::string_view kModelRequest = "model";
/// A plain request of an application behind a cell.
inline constexpr std::string_view kApplicationRequest = "app";
/// Reads a program's history.
inline constexpr std::string_view kHistoryRequest = "history";

/// The route that a request names, or null where the cell has none of this name and kind.
const Route* find_route(const Cell& cell, const ProgramRequest& request);

/// How long the caller waits: as its deadline says, within `kDefaultRequestTimeout`, which also stands for one not
/// named.
Duration request_timeout(const ProgramRequest& request);

/// What a key stands for: a second request under the same key must have the same digest.
uint64_t body_digest(const ProgramRequest& request);

}  // namespace mosskeel
