#pragma once
// Callers as the platform plays them.
#include "platform_stub/event_stream.hpp"
#include "platform_stub/gateway_monitor.hpp"

namespace mosskeel::platform_stub {

/// How long a request may take where its caller does not say; most routes are configured alike.
inline constexpr Duration kDefaultRequestTimeout = 4000ms;

/// How a caller's request ended.
struct RequestResult {
  /// Of the last attempt; 0 where it received none.
  uint32_t status = 0;
  std::string last_attempt;
  /// The response is a complete success.
  bool is_success = false;
};

/// A caller's request until its end, over as many attempts as that takes.
struct CallerRequest {
  RequestKind kind = RequestKind::safe;
  /// The name of the route: the first segment of the path.
  std::string route;
  /// The category of `ServedCounts`; empty where it is not counted.
  std::string category;
  std::string body;
  /// Empty for a request outside programs.
  std::string program;
  std::string session;
  /// The turn that this one goes on from; empty for none.
  std::string previous_turn;
  /// Tokens that the program may use; 0 where the caller does not say.
  uint64_t token_budget = 0;
  uint64_t prompt_tokens = 100;
  uint64_t max_output_tokens = 48;
  /// From the first attempt, or from its renewal, to the end.
  Duration timeout = kDefaultRequestTimeout;
  ConnectionUse connection_use = ConnectionUse::fresh;
  /// Where every attempt goes; empty for any gateway in use.
  Address only_gateway;
  /// Called once.
  std::function<void(const RequestResult& result)> on_done;

  // The state of its attempts.
  MonotonicTime deadline{};
  /// Where and when the last attempt was sent.
  Address gateway;
  MonotonicTime sent_at{};
  /// Attempts since the request was last sent anew.
  int attempts = 0;
  /// How often a turn was sent anew after it had failed.
  int renewals = 0;
  /// The last event that the caller has of a stream that it resumes.
  uint64_t resume_after = 0;

  uint64_t expected_events() const;
};

/// Sends requests, retries those that may be retried, and tells the checker what came of every attempt.
class Callers {
 public:
  explicit Callers(Environment& environment) : environment_(environment), gateways_(environment) {}
  bool all_gateways_ready() const { return gateways_.all_ready(); }
  void send(std::shared_ptr<CallerRequest> request);
  /// Sends one request that belongs to no program, counted under its route.
  void send_plain(RequestKind kind, const std::string& route);
  /// Requests that have not ended.
  size_t open_requests() const { return open_requests_; }

 private:
  using RequestPointer = std::shared_ptr<CallerRequest>;
  /// What follows from the outcome of an attempt.
  struct Decision {
    uint32_t status = 0;
    bool is_success = false;
    bool may_retry = false;
    Duration retry_after{};
  };

  void begin_attempt(const RequestPointer& request);
  void on_outcome(const RequestPointer& request, const std::string& attempt, const HttpOutcome& outcome);
  /// Tells the checker and lets it judge what the caller received.
  void check_outcome(const CallerRequest& request, const std::string& attempt, const HttpOutcome& outcome,
                     const std::vector<StreamEvent>& events);
  Decision decide(CallerRequest& request, const HttpOutcome& outcome, const std::vector<StreamEvent>& events);
  void act_on(const RequestPointer& request, const std::string& attempt, const Decision& decision);
  /// Sends a failed turn anew after a pause, as an agent does; false where it gives up.
  bool renew_turn(const RequestPointer& request, const Decision& decision);
  void finish(const CallerRequest& request, const RequestResult& result);

  Environment& environment_;
  GatewayMonitor gateways_;
  size_t open_requests_ = 0;
};

}  // namespace mosskeel::platform_stub
