#pragma once
// The HTTP side of a gateway: the sockets to callers and replicas around the traffic's state machine.
#include "net/backpressure.hpp"
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"
#include "routing/request_router.hpp"

namespace mosskeel {

/// Carries events from the sockets into the traffic and its actions back to the sockets. All of it on the loop's
/// thread.
class HttpFrontend {
 public:
  /// Takes what the traffic wants told to the owner of a program's turns.
  using SendToOwner = std::function<void(Message)>;
  /// Gives what the control state says now; asked for before each step.
  using Snapshot = std::function<std::shared_ptr<const RoutingSnapshot>()>;
  /// Errors where the address can't be listened on.
  static Result<std::unique_ptr<HttpFrontend>> open(EventLoop& loop, const ProtocolCodec& dialect, const Address& at,
                                                    Snapshot snapshot, SendToOwner tell);
  void step(routing::Event event);
  void tick();
  Address at() const { return callers_->local_address(); }
  /// Every answer from now on is the last of its session.
  void close_after_responses() { callers_->close_after_responses(); }
  /// Ends listening and idle sessions.
  void drain() { callers_->drain(); }
  /// Whether a caller's session is open or one of its requests is under way.
  bool has_active_callers() const { return callers_->connections() > 0 || traffic_.active_requests() > 0; }
  const UpstreamClient& replicas() const { return *replicas_; }
  const routing::RequestRouter& router() const { return traffic_; }

 private:
  HttpFrontend(EventLoop& loop, const ProtocolCodec& dialect, Snapshot snapshot, SendToOwner tell);
  void take_snapshot();
  UpstreamClient::Callbacks replica_events();
  void act(routing::Actions actions);
  void act(routing::SendResponseData& bytes);
  void act(routing::SendToReplica& ask);
  void act(routing::CancelAttempt& drop);
  void take_limits(const CallerLimits& limits);
  /// The traffic's number of an ask of the upstream client's, or 0.
  uint64_t ask_of(uint64_t upstream) const;
  /// The same for an ask that is over.
  uint64_t forget_ask(uint64_t upstream);

  Snapshot snapshot_;
  SendToOwner tell_owner_;
  routing::RequestRouter traffic_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<UpstreamClient> replicas_;
  std::unique_ptr<Backpressure> backpressure_;
  /// From the traffic's own numbers to the upstream client's and back.
  std::unordered_map<uint64_t, uint64_t> upstream_of_ask_, ask_of_upstream_;
  Revision limits_revision_{};
};

}  // namespace mosskeel
