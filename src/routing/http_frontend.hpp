#pragma once
// Connects the request router of a gateway to the HTTP connections of callers and replicas.
#include "net/backpressure.hpp"
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"
#include "routing/request_router.hpp"

namespace mosskeel {

/// Passes socket events to the request router and performs the router's actions on the sockets.
///
/// All calls and callbacks happen on the event loop's thread. Must not be destroyed from within a callback.
class HttpFrontend {
 public:
  /// Sends a message to the owner of a turn's program.
  using SendToOwner = std::function<void(Message)>;
  /// Returns the newest routing snapshot, never null; called before each event and tick.
  using Snapshot = std::function<std::shared_ptr<const RoutingSnapshot>()>;
  /// Starts listening for callers at `address`. Returns errors if that fails.
  /// @param memory_bytes what the process may use, which the limits of held responses depend on; 0 if that is unknown.
  static Result<std::unique_ptr<HttpFrontend>> open(EventLoop& loop, const ProtocolCodec& codec, const Address& address,
                                                    Snapshot snapshot, SendToOwner send_to_owner,
                                                    size_t memory_bytes = 0);
  /// Passes an event to the router and performs the resulting actions.
  void step(routing::Event event);
  /// Advances the router's timers; must be called at least once per `kTickInterval`.
  void tick();
  /// The listening address for callers, with the port that the system assigned if none was given.
  Address local_address() const { return callers_->local_address(); }
  /// From now on each connection is closed after its next response, and new requests are subject to these limits.
  void begin_shutdown(const ShutdownLimits& limits) {
    router_.begin_shutdown(limits);
    callers_->close_after_responses();
  }
  /// Stops listening and closes idle connections.
  void drain() { callers_->drain(); }
  /// Whether any caller's connection is open or any request is active.
  bool has_active_callers() const { return callers_->connections() > 0 || router_.active_requests() > 0; }
  const UpstreamClient& replicas() const { return *replicas_; }
  const routing::RequestRouter& router() const { return router_; }
  /// Bytes of responses that callers have not taken yet.
  size_t unsent_bytes() const { return callers_->unsent_bytes(); }
  /// Number of times that a replica was ejected.
  uint64_t ejections() const { return ejections_; }

 private:
  /// Bidirectional map between the upstream client's request ids and the router's attempt numbers. 0 stands for none.
  class AttemptMap {
   public:
    void add(routing::AttemptNumber attempt, uint64_t upstream_id);
    routing::AttemptNumber attempt_of(uint64_t upstream_id) const;
    uint64_t upstream_id_of(routing::AttemptNumber attempt) const;
    /// Removes an attempt that has ended, and returns its number.
    routing::AttemptNumber remove(uint64_t upstream_id);

   private:
    std::unordered_map<uint64_t, routing::AttemptNumber> attempt_by_upstream_id_;
    std::unordered_map<routing::AttemptNumber, uint64_t> upstream_id_by_attempt_;
  };

  HttpFrontend(EventLoop& loop, const ProtocolCodec& codec, Snapshot snapshot, SendToOwner send_to_owner,
               size_t memory_bytes);
  HttpListener::Callbacks caller_callbacks();
  UpstreamClient::Callbacks replica_callbacks();
  void update_router();
  void apply_limits(const CallerLimits& limits);

  void perform(routing::SendResponse& action);
  void perform(routing::SendResponseHeaders& action);
  void perform(routing::SendResponseData& action);
  void perform(routing::EndResponse& action);
  void perform(routing::ResetResponse& action);
  void perform(routing::SendToReplica& action);
  void perform(routing::CancelAttempt& action);
  void perform(routing::SkipStaleResponse& action);
  void perform(routing::SendToOwner& action);
  void perform(const routing::ReportEjection& action);

  Snapshot snapshot_;
  SendToOwner send_to_owner_;
  routing::RequestRouter router_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<UpstreamClient> replicas_;
  std::unique_ptr<Backpressure> backpressure_;
  AttemptMap attempts_;
  /// The upstream request whose response was just found to be malformed; 0 for none.
  uint64_t malformed_request_ = 0;
  uint64_t ejections_ = 0;
  /// What the process may use; 0 if that is unknown.
  const size_t memory_bytes_;
  /// Revision of the configuration whose limits were last applied to the listener.
  Revision limits_revision_{};
};

}  // namespace mosskeel
