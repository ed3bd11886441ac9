#pragma once
// The HTTP side of a gateway: the sockets to callers and replicas around the request router.
#include "net/backpressure.hpp"
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"
#include "routing/request_router.hpp"

namespace mosskeel {

/// Carries events from the sockets into the request router and the router's actions back to the sockets.
///
/// All calls and callbacks on the event loop's thread; must not be destroyed in an event.
class HttpFrontend {
 public:
  /// Takes a message for the owner of a turn's program.
  using SendToOwner = std::function<void(Message)>;
  /// Gives the newest routing snapshot, never null; called before each event and tick.
  using Snapshot = std::function<std::shared_ptr<const RoutingSnapshot>()>;
  /// Listens for callers at `address`. Errors where that is not possible.
  static Result<std::unique_ptr<HttpFrontend>> open(EventLoop& loop, const ProtocolCodec& codec, const Address& address,
                                                    Snapshot snapshot, SendToOwner send_to_owner);
  /// Gives an event to the router and carries out its actions.
  void step(routing::Event event);
  /// Lets time pass in the router; to be called at least each `kTickInterval`.
  void tick();
  /// Where callers are listened for, with the port that the system chose where none was named.
  Address local_address() const { return callers_->local_address(); }
  /// Every response from now on is the last of its connection, and requests are taken within these limits.
  void begin_shutdown(const ShutdownLimits& limits) {
    router_.begin_shutdown(limits);
    callers_->close_after_responses();
  }
  /// Ends listening and closes idle connections.
  void drain() { callers_->drain(); }
  /// Whether a caller's connection is open or one of its requests is under way.
  bool has_active_callers() const { return callers_->connections() > 0 || router_.active_requests() > 0; }
  const UpstreamClient& replicas() const { return *replicas_; }
  const routing::RequestRouter& router() const { return router_; }

 private:
  /// The request ids of the upstream client and the router's attempt numbers, both ways. 0 stands for none.
  class AttemptMap {
   public:
    void add(routing::AttemptNumber attempt, uint64_t upstream_id);
    routing::AttemptNumber attempt_of(uint64_t upstream_id) const;
    uint64_t upstream_id_of(routing::AttemptNumber attempt) const;
    /// Forgets an attempt that is over, and returns its number.
    routing::AttemptNumber remove(uint64_t upstream_id);

   private:
    std::unordered_map<uint64_t, routing::AttemptNumber> attempt_by_upstream_id_;
    std::unordered_map<routing::AttemptNumber, uint64_t> upstream_id_by_attempt_;
  };

  HttpFrontend(EventLoop& loop, const ProtocolCodec& codec, Snapshot snapshot, SendToOwner send_to_owner);
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

  Snapshot snapshot_;
  SendToOwner send_to_owner_;
  routing::RequestRouter router_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<UpstreamClient> replicas_;
  std::unique_ptr<Backpressure> backpressure_;
  AttemptMap attempts_;
  /// The configuration whose limits the listener has.
  Revision limits_revision_{};
};

}  // namespace mosskeel
