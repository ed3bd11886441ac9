#pragma once
// Request and response bodies of the admin API; docs/http.md describes them.
#include "base/json.hpp"
#include "consensus/failure_detector.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// Creates a plain-text response. Appends a newline if `text` does not end with one.
ApiResponse text_response(std::string text);
ApiResponse json_response(const json::Json& body);

/// Formats a commit's outcome in the command language: "yes", "no" or "unknown", with details.
std::string describe_outcome(const CommitReply& reply);
/// Converts a commit's outcome to an HTTP status and JSON. `revision` is the current revision.
ApiResponse commit_response(const CommitReply& reply, Revision revision);

/// Parses the JSON of a replica that an operator adds to the log under this name.
Result<Replica> parse_replica(const std::string& name, const std::string& text);

ApiResponse show_configuration(const Metadata& metadata);
ApiResponse list_replicas(const Metadata& metadata);
/// Returns a gateway's entry in the list of gateways. `status` is from its heartbeats; null if it has sent none.
json::Json gateway_json(const Daemon& daemon, const Metadata& metadata, const PeerStatus* status, TimePoint now);

}  // namespace mosskeel
