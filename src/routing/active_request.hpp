#pragma once
// A caller's request on its way through the router.
#include "net/protocol_codec.hpp"
#include "routing/event_reader.hpp"
#include "routing/retry_state.hpp"
#include "routing/router_messages.hpp"

namespace mosskeel::routing {

/// The attempt under way: the request is at a replica, whose response is awaited or passed on.
struct UpstreamAttempt {
  AttemptNumber number = 0;
  std::string replica;
  /// Head of the response; valid once it was received and until it is passed on.
  uint32_t status = 0;
  HeaderFields fields;
  /// What was read of a response that is passed on as a whole.
  std::string buffered_body;
  /// Whether the head was passed on: from then on the response can only be ended or reset.
  bool streaming = false;
  /// Whether the response is a stream of events whose end only the close of the connection tells.
  bool events_last_until_close = false;
  /// Line feeds at the end of what was passed on of it, two at most; two of them end an event.
  size_t trailing_line_feeds = 0;
  /// Whether a stale response was skipped on the connection; a second one is an error.
  bool skipped_stale_response = false;
};

/// The part of a request that only turns have. Its owner reserves the turn, a replica streams it, its owner commits it.
struct Turn {
  enum class Phase {
    reserving,    ///< the owner's grant is awaited
    dispatching,  ///< granted: waits for a replica or is at one
    committing,   ///< the stream is complete but for its end, which waits for the owner's acknowledgement
  };
  Phase phase = Phase::reserving;
  EventReader events;
  /// Text of the turns before this one; goes before the body.
  std::string chain;
};

/// One request.
struct ActiveRequest {
  RequestId id = 0;
  HttpRequest request;
  RequestHeaders headers;
  /// The configuration that `path` lies in.
  MetadataSnapshot view;
  const Path* path = nullptr;
  std::string service;
  /// Keeps requests that belong together on one replica; 0 for none.
  uint64_t affinity_hash = 0;
  TimePoint received_at{};
  /// When the caller's or the path's time is over.
  TimePoint deadline{};
  /// Until when it may wait for a replica with free capacity.
  TimePoint wait_until{};
  RetryState retry;
  std::optional<UpstreamAttempt> attempt;
  /// Set for turns only.
  std::optional<Turn> turn;

  /// Whether the same attempt id may be here only once.
  bool runs_once() const;
  bool is_committing() const { return turn && turn->phase == Turn::Phase::committing; }
  bool is_reserving() const { return turn && turn->phase == Turn::Phase::reserving; }
  /// Whether a replica may have run it without its response having ended.
  bool may_have_run() const { return retry.outcome_unknown() || attempt; }
  /// Takes the path, and the service that takes this request there.
  void route_to(const Path& new_path, const MetadataSnapshot& new_view);
  /// Tokens of the turn that were passed on to the caller.
  uint64_t streamed_tokens() const;
};

/// A request as it arrives: routed, with its deadlines, and not sent yet.
ActiveRequest make_active_request(RequestReceived&& event, const RequestHeaders& headers, const Path& path,
                                  const MetadataSnapshot& view, TimePoint now);
/// The reservation that a turn begins with.
ReserveTurn make_reservation(const ActiveRequest& request, TimePoint now);
/// The outcome that a turn ends with: 200 complete, 0 not run, 502 unknown or broken off, else the replica's error.
CommitTurn make_outcome(const ActiveRequest& request, uint32_t status);

}  // namespace mosskeel::routing
