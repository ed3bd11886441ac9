#pragma once
// Kinds of callers' requests, and lookup of the cell's route for a request.
#include <string_view>

#include "messages/message.hpp"

namespace mosskeel {

/// `ProgramRequest::kind`: a turn of a program, run by a model replica.
inline constexpr std::string_view kModelRequest = "model";
/// A plain request of an application behind a cell.
inline constexpr std::string_view kApplicationRequest = "app";
/// Reads a program's history.
inline constexpr std::string_view kHistoryRequest = "history";

/// The route that a request names, or null if the cell has none of this name and kind.
const Route* find_route(const Cell& cell, const ProgramRequest& request);

/// How long the caller waits: its deadline, or `kDefaultRequestTimeout` if it sent none or a longer one.
Duration request_timeout(const ProgramRequest& request);

/// Digest of what a key identifies: a second request under the same key must have the same digest.
uint64_t body_digest(const ProgramRequest& request);

}  // namespace mosskeel
