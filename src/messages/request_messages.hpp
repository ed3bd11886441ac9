#pragma once
// Callers' requests between gateways, and what a gateway and its replicas say to each other.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// A caller's request, from HTTP or forwarded by another gateway. `kind` is "model", "app" or "history"; `key` makes
/// turns under it run once; `prefix` is what requests with a common prompt prefix share; `expected_turns` is how many
/// turns the caller believes its thread to have; `deadline_ms` counts from the arrival.
struct ProgramRequest {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequest, (std::string, attempt), (std::string, cell), (std::string, route),
                           (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                           (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                           (uint64_t, max_tokens), (std::optional<uint32_t>, expected_turns), (bool, urgent),
                           (bool, bulk), (bool, idempotent), (int64_t, deadline_ms));
};

/// The owner has taken a forwarded request.
struct ProgramRequestAcknowledgement {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequestAcknowledgement, (std::string, attempt));
};

/// Part of a streamed response; `index` counts from 0.
struct ProgramResponseChunk {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponseChunk, (std::string, attempt), (uint32_t, index), (std::string, text));
};

/// The final response to a request. `executed` tells whether it ran, as far as that is known; `wrong_owner` that the
/// gateway which it was forwarded to does not own its program; `chunks` how many were streamed before.
struct ProgramResponse {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponse, (std::string, attempt), (uint32_t, status), (Outcome, executed),
                           (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                           (uint32_t, retry_ms), (bool, wrong_owner), (uint32_t, chunks));
};

/// A call of a replica over HTTP. `deadline_ms` counts from now.
struct ReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCall, (std::string, attempt), (std::string, kind), (std::string, url),
                           (std::string, method), (std::string, body), (int64_t, deadline_ms), (bool, idempotent));
};

/// Part of a replica's stream; `tokens` are those of this part.
struct ReplicaCallChunk {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallChunk, (std::string, attempt), (uint32_t, index), (std::string, text),
                           (uint64_t, tokens));
};

/// The end of a call. `request_sent` tells whether anything may have reached the replica; `complete` that the replica
/// itself ended its response, with `chunks`, `tokens` and `checksum` of all of it.
struct ReplicaCallResponse {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallResponse, (std::string, attempt), (bool, request_sent), (uint32_t, status),
                           (bool, complete), (uint32_t, chunks), (uint64_t, tokens), (uint64_t, checksum),
                           (std::string, body), (std::string, reason));
};

/// Ends a call whose response is no longer of use.
struct CancelReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(CancelReplicaCall, (std::string, attempt));
};

}  // namespace mosskeel
