#pragma once
// Callers' requests between gateways, and what a gateway and its replicas say to each other.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// A caller's request, from HTTP or proxied by another gateway.
struct ProgramRequest {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequest, (std::string, attempt), (std::string, cell), (std::string, route),
                           (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                           (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                           (uint64_t, max_tokens), (std::optional<uint32_t>, expected_turns), (bool, urgent),
                           (bool, bulk), (bool, idempotent), (int64_t, deadline_ms));
};

struct ProgramRequestAcknowledgement {
  BOOST_HANA_DEFINE_STRUCT(ProgramRequestAcknowledgement, (std::string, attempt));
};

struct ProgramResponseChunk {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponseChunk, (std::string, attempt), (uint32_t, index), (std::string, text));
};

/// The last word on a request. `ran` is what is known of it: no, yes, or unknown.
struct ProgramResponse {
  BOOST_HANA_DEFINE_STRUCT(ProgramResponse, (std::string, attempt), (uint32_t, status), (Outcome, executed),
                           (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                           (uint32_t, retry_ms), (bool, wrong_owner), (uint32_t, chunks));
};

/// What the gateway asks of a replica, and hears from it.
struct ReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCall, (std::string, attempt), (std::string, kind), (std::string, url),
                           (std::string, method), (std::string, body), (int64_t, deadline_ms), (bool, idempotent));
};

struct ReplicaCallChunk {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallChunk, (std::string, attempt), (uint32_t, index), (std::string, text),
                           (uint64_t, tokens));
};

/// `sent` tells whether anything may have reached the replica; `sealed` its own closing word.
struct ReplicaCallResponse {
  BOOST_HANA_DEFINE_STRUCT(ReplicaCallResponse, (std::string, attempt), (bool, request_sent), (uint32_t, status),
                           (bool, complete), (uint32_t, chunks), (uint64_t, tokens), (uint64_t, checksum),
                           (std::string, body), (std::string, reason));
};

struct CancelReplicaCall {
  BOOST_HANA_DEFINE_STRUCT(CancelReplicaCall, (std::string, attempt));
};

}  // namespace mosskeel
