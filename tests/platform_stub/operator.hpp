#pragma once
// The operator of the fleet.
#include "platform_stub/environment.hpp"
#include "platform_stub/platform_configuration.hpp"

namespace mosskeel::platform_stub {

/// Changes configurations, evacuates zones and retires machines, at whichever controller answers, and reports every
/// response that it should not have received. The callbacks are called once, never from within.
class Operator {
 public:
  using OnDone = std::function<void()>;
  explicit Operator(Environment& environment) : environment_(environment) {}

  /// Applies the first configuration, and tries what must be rejected on top of it.
  void apply_first_configuration(OnDone on_done);
  /// Changes named routes; `on_done` follows once the change must be in force.
  void change_routes(OnDone on_done);
  /// Changes one route on top of the configuration that was applied last.
  void revise(OnDone on_done);
  /// Adds routes on top of the configuration that was applied last; no request is sent on them.
  void add_routes(int count, OnDone on_done);
  /// Adds these routes and services to the configuration that was applied last.
  void add(const nlohmann::json& routes, const nlohmann::json& services, OnDone on_done);
  /// Routes of the configuration that was applied last.
  size_t route_count() const { return configuration_["Routes"].size(); }
  /// Bytes of the configuration that was applied last.
  size_t configuration_bytes() const { return configuration_.dump().size(); }
  /// Sends two changes on top of the same configuration at once: one of them prevails.
  void race(OnDone on_done);
  /// Sends a configuration that must be rejected.
  void try_invalid(OnDone on_done);
  void evacuate(const std::string& zone, OnDone on_done);
  void restore(const std::string& zone);
  /// Asks for retirements that must be rejected, and for the state of a machine that serves.
  void request_retirements();
  /// Compares the configuration in force with the one applied last.
  void read_back(OnDone on_done);

 private:
  struct Response {
    /// 0 where there was no clear response within the patience.
    uint32_t status = 0;
    std::string body;
  };
  using OnResponse = std::function<void(const Response& response)>;
  struct Request {
    std::string method;
    std::string path;
    std::string body;
    /// The revision that the request is meant to replace.
    std::optional<int> base_revision;
    Duration patience{};
    /// For reports.
    std::string description;
    /// The statuses that are right.
    std::set<uint32_t> expected;
  };
  /// A request until its clear response.
  struct Call {
    Request request;
    OnResponse on_response;
    MonotonicTime deadline{};
    /// Where a redirection leads; empty for any controller.
    Address redirected_to;
    int redirections = 0;
  };

  void call(Request request, OnResponse on_response);
  void send(const std::shared_ptr<Call>& call);
  void on_outcome(const std::shared_ptr<Call>& call, const HttpOutcome& outcome);
  /// Notes where a redirection leads.
  static void follow_redirection(Call& call, const HttpOutcome& outcome);
  /// A later configuration that differs from the one applied last in the latency target of one route.
  nlohmann::json revised_configuration();
  /// Makes these calls one after the other.
  void call_in_turn(std::vector<Request> requests, OnDone on_done);

  Environment& environment_;
  /// The configuration that was applied last.
  nlohmann::json configuration_;
};

}  // namespace mosskeel::platform_stub
