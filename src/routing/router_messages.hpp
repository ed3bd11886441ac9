#pragma once
// Events and actions of the request router: all that goes in and comes out of it.
#include "messages/message.hpp"
#include "net/protocol_codec.hpp"

namespace mosskeel::routing {

/// A caller's request, from its arrival to the end of its response. Numbers come from the HTTP listener.
using RequestId = uint64_t;
/// One sending of a request to a replica. Numbers come from the router and are not used twice; 0 stands for none.
using AttemptNumber = uint64_t;

/// A caller's request has been read completely.
struct RequestReceived {
  RequestId request_id;
  HttpRequest request;
};
/// The caller closed or reset its connection before the response was over.
struct CallerDisconnected {
  RequestId request_id;
};
/// The head of a replica's response.
struct ResponseHeadersReceived {
  AttemptNumber attempt;
  uint32_t status{};
  HeaderFields fields;
  /// The caller's attempt that used the connection before; empty on a new one.
  std::string previous_attempt_id;
  /// The body has no framing and lasts until the replica closes the connection.
  bool lasts_until_close = false;
};
/// Bytes of the body of a replica's response.
struct ResponseDataReceived {
  AttemptNumber attempt;
  std::string bytes;
};
/// The replica's response is complete.
struct ResponseCompleted {
  AttemptNumber attempt;
};
/// The connection to the replica failed before the response was complete.
struct AttemptFailed {
  AttemptNumber attempt;
  /// Whether any byte of the request may have reached the replica.
  bool possibly_sent{};
  std::string reason;
};
using Event = std::variant<RequestReceived, CallerDisconnected, ResponseHeadersReceived, ResponseDataReceived,
                           ResponseCompleted, AttemptFailed, ReserveTurnReply, CommitTurnReply>;

/// A complete response to the caller.
struct SendResponse {
  RequestId request_id;
  uint32_t status{};
  HeaderFields fields;
  std::string body;
};
/// The head of a response whose body follows.
struct SendResponseHeaders {
  RequestId request_id;
  uint32_t status{};
  HeaderFields fields;
};
struct SendResponseData {
  RequestId request_id;
  std::string bytes;
  /// The attempt that the bytes come from: it is paused while the caller is slow.
  AttemptNumber attempt;
};
/// The response is complete.
struct EndResponse {
  RequestId request_id;
};
/// The response can't be completed: the caller's connection is reset, so that it does not look complete.
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
  /// A kept connection that has been idle for longer is not used.
  Duration max_idle{};
};
/// No more events of the attempt; its connection is closed.
struct CancelAttempt {
  AttemptNumber attempt;
};
/// The head that was just received belongs to an earlier attempt on the connection; the attempt's own comes behind it.
struct SkipStaleResponse {
  AttemptNumber attempt;
};
/// For the owner of the turn's program, by way of the control state.
struct SendToOwner {
  Message message;
};
using Action = std::variant<SendResponse, SendResponseHeaders, SendResponseData, EndResponse, ResetResponse,
                            SendToReplica, CancelAttempt, SkipStaleResponse, SendToOwner>;
using Actions = std::vector<Action>;

}  // namespace mosskeel::routing
