#pragma once
// Callers' requests between gateways, and the messages between a gateway and its replicas.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// A caller's request to the product's own interface, from HTTP or forwarded by another gateway. `attempt` identifies
/// this sending, `key` the turn; `expected_turns` is how many turns the caller knows of; `deadline_ms` is the time
/// left.
struct ProgramRequest {
  MOSSKEEL_FIELDS(ProgramRequest, (std::string, attempt), (std::string, cell), (std::string, route),
                  (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                  (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                  (uint64_t, max_tokens), (std::optional<uint32_t>, expected_turns), (bool, urgent), (bool, bulk),
                  (bool, idempotent), (int64_t, deadline_ms));
};

/// The owner has a forwarded request and will answer it.
struct ProgramRequestAcknowledgement {
  MOSSKEEL_FIELDS(ProgramRequestAcknowledgement, (std::string, attempt));
};

/// A chunk of a response that is still running, counted from 0.
struct ProgramResponseChunk {
  MOSSKEEL_FIELDS(ProgramResponseChunk, (std::string, attempt), (uint32_t, index), (std::string, text));
};

/// The final response. `executed` says what is known of its execution; `wrong_owner` that another gateway owns the
/// program; `chunks` how many chunks it has in all, `retry_ms` when the caller may try again (0: not known).
struct ProgramResponse {
  MOSSKEEL_FIELDS(ProgramResponse, (std::string, attempt), (uint32_t, status), (Outcome, executed),
                  (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                  (uint32_t, retry_ms), (bool, wrong_owner), (uint32_t, chunks));
};

/// A gateway's call of a replica, to be sent once.
struct ReplicaCall {
  MOSSKEEL_FIELDS(ReplicaCall, (std::string, attempt), (std::string, kind), (std::string, url), (std::string, method),
                  (std::string, body), (int64_t, deadline_ms), (bool, idempotent));
};

/// A chunk of the replica's response; `tokens` are those in this chunk.
struct ReplicaCallChunk {
  MOSSKEEL_FIELDS(ReplicaCallChunk, (std::string, attempt), (uint32_t, index), (std::string, text), (uint64_t, tokens));
};

/// The end of a call. `request_sent` says whether anything may have reached the replica; `complete` that the replica
/// itself ended its response, whose `checksum` and number of `chunks` it states.
struct ReplicaCallResponse {
  MOSSKEEL_FIELDS(ReplicaCallResponse, (std::string, attempt), (bool, request_sent), (uint32_t, status),
                  (bool, complete), (uint32_t, chunks), (uint64_t, tokens), (uint64_t, checksum), (std::string, body),
                  (std::string, reason));
};

/// The caller has left, or its time is over: ends the call.
struct CancelReplicaCall {
  MOSSKEEL_FIELDS(CancelReplicaCall, (std::string, attempt));
};

}  // namespace mosskeel
