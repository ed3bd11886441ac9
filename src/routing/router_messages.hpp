#pragma once
// Events and actions of the request router: its complete input and output.
#include "messages/message.hpp"
#include "net/protocol_codec.hpp"

namespace mosskeel::routing {

/// Identifies a caller's request from its arrival to the end of its response. Assigned by the HTTP listener.
using RequestId = uint64_t;
/// Identifies one attempt to run a request at a replica. Assigned by the router and never reused; 0 stands for none.
using AttemptNumber = uint64_t;

/// A caller's request was received completely.
struct RequestReceived {
  RequestId request_id;
  HttpRequest request;
};
/// The caller closed or reset its connection before the response ended.
struct CallerDisconnected {
  RequestId request_id;
};
/// The status and headers of a replica's response were received.
struct ResponseHeadersReceived {
  AttemptNumber attempt;
  uint32_t status{};
  HeaderFields fields;
  /// Id of the caller's attempt that used the connection before; empty on a new connection.
  std::string previous_attempt_id;
  /// The body has no framing and lasts until the replica closes the connection.
  bool lasts_until_close = false;
};
/// A part of the body of a replica's response was received.
struct ResponseDataReceived {
  AttemptNumber attempt;
  std::string bytes;
};
/// The replica's response was received completely.
struct ResponseCompleted {
  AttemptNumber attempt;
};
/// The connection to the replica failed before the response was received completely.
struct AttemptFailed {
  AttemptNumber attempt;
  /// Whether any part of the request may have reached the replica.
  bool possibly_sent{};
  std::string reason;
  /// Whether the connection was closed here, because the response is malformed.
  bool is_malformed = false;
};
using Event = std::variant<RequestReceived, CallerDisconnected, ResponseHeadersReceived, ResponseDataReceived,
                           ResponseCompleted, AttemptFailed, ReserveTurnReply, CommitTurnReply>;

/// Sends a complete response to the caller.
struct SendResponse {
  RequestId request_id;
  uint32_t status{};
  HeaderFields fields;
  std::string body;
};
/// Sends the status and headers of a response whose body follows.
struct SendResponseHeaders {
  RequestId request_id;
  uint32_t status{};
  HeaderFields fields;
};
struct SendResponseData {
  RequestId request_id;
  std::string bytes;
  /// The attempt that the bytes come from: reading from it is paused while the caller is slow.
  AttemptNumber attempt;
};
/// Completes the response.
struct EndResponse {
  RequestId request_id;
};
/// Resets the caller's connection, because the response cannot be completed and must not appear complete.
struct ResetResponse {
  RequestId request_id;
};
struct SendToReplica {
  AttemptNumber attempt;
  Address to;
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string body;
  /// The caller's attempt id.
  std::string attempt_id;
  /// A pooled connection that has been idle for longer is not reused.
  Duration max_idle{};
};
/// Closes the attempt's connection; no more events of the attempt follow.
struct CancelAttempt {
  AttemptNumber attempt;
};
/// Skips the response whose headers were just received: it belongs to an earlier attempt on the connection, and the one
/// to this attempt follows.
struct SkipStaleResponse {
  AttemptNumber attempt;
};
/// Sends a message to the owner of the turn's program, through the gateway's state machine.
struct SendToOwner {
  Message message;
};
/// Logs that nothing is sent to a replica for a while.
struct ReportEjection {
  std::string replica;
  std::string reason;
  Duration time{};
};
using Action = std::variant<SendResponse, SendResponseHeaders, SendResponseData, EndResponse, ResetResponse,
                            SendToReplica, CancelAttempt, SkipStaleResponse, SendToOwner, ReportEjection>;
using Actions = std::vector<Action>;

}  // namespace mosskeel::routing
