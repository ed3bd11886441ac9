#pragma once
// Callers' requests forwarded between gateways, and calls from a gateway to its replicas.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// A caller's request to the program interface, received by HTTP or forwarded by another gateway. `attempt` identifies
/// this attempt to send it, `key` the turn; `expected_turns` is the number of turns that the caller knows of;
/// `deadline_ms` is the remaining time.
struct ProgramRequest {
  MOSSKEEL_FIELDS(ProgramRequest, (std::string, attempt), (std::string, cell), (std::string, route),
                  (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                  (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                  (uint64_t, max_tokens), (std::optional<uint32_t>, expected_turns), (bool, urgent), (bool, bulk),
                  (bool, idempotent), (int64_t, deadline_ms));
};

/// The owner has received a forwarded request and will respond to it.
struct ProgramRequestAcknowledgement {
  MOSSKEEL_FIELDS(ProgramRequestAcknowledgement, (std::string, attempt));
};

/// A chunk of a streaming response; `index` counts from 0.
struct ProgramResponseChunk {
  MOSSKEEL_FIELDS(ProgramResponseChunk, (std::string, attempt), (uint32_t, index), (std::string, text));
};

/// The final response. `executed` is what is known about the request's execution; `wrong_owner` means that another
/// gateway owns the program; `chunks` is the total number of chunks; `retry_ms` is the delay after which the caller may
/// retry (0: unknown).
struct ProgramResponse {
  MOSSKEEL_FIELDS(ProgramResponse, (std::string, attempt), (uint32_t, status), (Outcome, executed),
                  (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                  (uint32_t, retry_ms), (bool, wrong_owner), (uint32_t, chunks));
};

/// A gateway's call to a replica, to be sent once.
struct ReplicaCall {
  MOSSKEEL_FIELDS(ReplicaCall, (std::string, attempt), (std::string, kind), (std::string, url), (std::string, method),
                  (std::string, body), (int64_t, deadline_ms), (bool, idempotent));
};

/// A chunk of the replica's response; `tokens` is the number of tokens in this chunk.
struct ReplicaCallChunk {
  MOSSKEEL_FIELDS(ReplicaCallChunk, (std::string, attempt), (uint32_t, index), (std::string, text), (uint64_t, tokens));
};

/// The end of a call. `request_sent` is whether any part of the request may have reached the replica; `complete` means
/// that the replica itself ended its response and stated its `checksum` and number of `chunks`.
struct ReplicaCallResponse {
  MOSSKEEL_FIELDS(ReplicaCallResponse, (std::string, attempt), (bool, request_sent), (uint32_t, status),
                  (bool, complete), (uint32_t, chunks), (uint64_t, tokens), (uint64_t, checksum), (std::string, body),
                  (std::string, reason));
};

/// Cancels a call whose caller has disconnected or whose deadline has passed.
struct CancelReplicaCall {
  MOSSKEEL_FIELDS(CancelReplicaCall, (std::string, attempt));
};

}  // namespace mosskeel
