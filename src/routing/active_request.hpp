#pragma once
// State of one caller's request while the router processes it.
#include "net/protocol_codec.hpp"
#include "routing/event_reader.hpp"
#include "routing/retry_state.hpp"
#include "routing/router_messages.hpp"

namespace mosskeel::routing {

/// The current attempt: the request was sent to a replica, and its response is awaited or being forwarded.
struct UpstreamAttempt {
  AttemptNumber number = 0;
  std::string replica;
  /// Status and headers of the response; valid from their arrival until they are forwarded.
  uint32_t status = 0;
  HeaderFields fields;
  /// Body bytes received so far of a response that is buffered and forwarded as a whole.
  std::string buffered_body;
  /// Whether the headers were forwarded: from then on the response can only be completed or reset.
  bool streaming = false;
  /// Whether the response is an event stream without framing, which ends when the connection is closed.
  bool events_last_until_close = false;
  /// Number of line feeds at the end of the forwarded bytes, at most two; two of them end an event.
  size_t trailing_line_feeds = 0;
  /// Bytes of the body that were forwarded.
  uint64_t forwarded_bytes = 0;
  /// Whether a stale response was already skipped on this connection; a second one is an error.
  bool skipped_stale_response = false;
};

/// Additional state of a request that is a turn. The program's owner reserves the turn, a replica streams the response,
/// and the owner commits the outcome.
struct Turn {
  enum class Phase {
    reserving,    ///< waiting for the owner to grant the reservation
    dispatching,  ///< granted: waiting for a replica or running at one
    committing,   ///< everything but the end of the stream was sent; the end waits for the owner's acknowledgement
  };
  Phase phase = Phase::reserving;
  EventReader events;
  /// The response may have no more events; see `ActiveRequest::max_events`. Valid from the arrival of its headers.
  uint64_t max_events = UINT64_MAX;
  /// Text of the preceding turns, prepended to the body that is sent to the replica.
  std::string chain;
};

struct ActiveRequest {
  RequestId id = 0;
  HttpRequest request;
  RequestHeaders headers;
  /// The metadata that `path` points into.
  MetadataSnapshot view;
  const Path* path = nullptr;
  std::string service;
  /// Requests with equal hashes are sent to the same replica; 0 for no affinity.
  uint64_t affinity_hash = 0;
  TimePoint received_at{};
  /// The earlier of the caller's deadline and the path's timeout.
  TimePoint deadline{};
  /// How long the request may stay queued for a replica with free capacity.
  TimePoint wait_until{};
  RetryState retry;
  std::optional<UpstreamAttempt> attempt;
  /// Set only if the request is a turn.
  std::optional<Turn> turn;

  /// Whether at most one request with this attempt id may run.
  bool runs_once() const;
  bool is_committing() const { return turn && turn->phase == Turn::Phase::committing; }
  bool is_reserving() const { return turn && turn->phase == Turn::Phase::reserving; }
  /// Whether a replica may have run the request although no complete response was received.
  bool may_have_run() const { return retry.outcome_unknown() || attempt; }
  /// Sets the path, and selects the path's service for this request.
  void route_to(const Path& new_path, const MetadataSnapshot& new_view);
  /// Number of the turn's tokens that were forwarded to the caller.
  uint64_t streamed_tokens() const;
  /// More events than the turn may put out by its caller's word, with a margin; requests may say nothing about it.
  uint64_t max_events() const;
  /// Bytes that are held of the response.
  size_t held_response_bytes() const;

 private:
  uint64_t tokens_per_event() const;
};

/// Creates the state of a request on arrival: routed, with its deadlines set, and not sent yet.
ActiveRequest make_active_request(RequestReceived&& event, const RequestHeaders& headers, const Path& path,
                                  const MetadataSnapshot& view, TimePoint now);
/// The reservation request that is sent to the owner before the turn runs.
ReserveTurn make_reservation(const ActiveRequest& request, TimePoint now);
/// The outcome that is reported to the owner after the turn: 200 complete, 0 not run, 502 unknown or interrupted, else
/// the replica's error status.
CommitTurn make_outcome(const ActiveRequest& request, uint32_t status);

}  // namespace mosskeel::routing
