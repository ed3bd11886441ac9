#pragma once
// The bodies of the admin API's requests and responses; docs/http.md describes them.
#include "base/json.hpp"
#include "consensus/failure_detector.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// Plain text; a line end is added where there is none.
ApiResponse text_response(std::string text);
ApiResponse json_response(const json::Json& body);

/// A commit's outcome in the operators' language: "yes", "no" or "unknown", with its particulars.
std::string describe_outcome(const CommitReply& reply);
/// A commit's outcome as JSON and status; `revision` is the current one.
ApiResponse commit_response(const CommitReply& reply, Revision revision);

/// A replica that an operator puts into the log under this name, out of its JSON.
Result<Replica> parse_replica(const std::string& name, const std::string& text);

ApiResponse show_configuration(const Metadata& metadata);
ApiResponse list_replicas(const Metadata& metadata);
/// One gateway's entry in the list of gateways. `status` is what its heartbeats told; null where it never sent any.
json::Json gateway_json(const Daemon& daemon, const Metadata& metadata, const PeerStatus* status, TimePoint now);

}  // namespace mosskeel
