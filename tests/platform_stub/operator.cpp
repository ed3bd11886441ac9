#include "platform_stub/operator.hpp"

namespace mosskeel::platform_stub {

namespace {

using Json = nlohmann::json;

/// How long the operator goes on asking: for the fleet's founding, in traffic, and where nothing else happens.
constexpr Duration kFoundingPatience = 30000ms;
constexpr Duration kPatience = 15000ms;
constexpr Duration kQuietPatience = 5000ms;
constexpr Duration kAttemptTimeout = 1000ms;
/// Added for each megabyte of a request.
constexpr Duration kAttemptTimeoutPerMegabyte = 1000ms;
constexpr Duration kRetryDelay = 150ms;
constexpr Duration kRedirectionDelay = 1ms;
/// Of this many redirections one is not followed, for controllers may send each other's callers in a circle.
constexpr int kRedirectionCycle = 3;
/// How long after its acknowledgement a change may take until every gateway has it.
constexpr Duration kChangePropagation = 2000ms;
constexpr Duration kChangeMargin = 50ms;
/// A URL's address begins behind this.
constexpr std::string_view kUrlScheme = "http://";

bool is_clear(const HttpOutcome& outcome) {
  auto status = outcome.status;
  return outcome.is_complete && status < 500 && status != 408 && status != 429 && status != 307;
}

std::string retirement_request() {
  return Json{{"DeadlineS", 10}}.dump();
}

}  // namespace

void Operator::call(Request request, OnResponse on_response) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->on_response = std::move(on_response);
  call->deadline = monotonic_now() + call->request.patience;
  send(call);
}

void Operator::send(const std::shared_ptr<Call>& call) {
  auto address = std::exchange(call->redirected_to, "");
  if (address.empty()) {
    auto controllers = static_cast<uint64_t>(environment_.addresses.size.controllers);
    address = environment_.addresses.control_plane(static_cast<int>(environment_.random_below(controllers)));
  }
  const auto& request = call->request;
  HeaderFields fields{{"Host", "control"}, {"Content-Type", "application/json"}};
  if (request.base_revision)
    fields.push_back({"If-Match", std::to_string(*request.base_revision)});
  UpstreamClient::Request message{address, request.method, request.path, std::move(fields), request.body};
  auto megabytes = static_cast<int64_t>(request.body.size() >> 20);
  environment_.send(std::move(message), kAttemptTimeout + kAttemptTimeoutPerMegabyte * megabytes,
                    [this, call](const HttpOutcome& outcome) { on_outcome(call, outcome); });
}

void Operator::on_outcome(const std::shared_ptr<Call>& call, const HttpOutcome& outcome) {
  bool is_over = is_clear(outcome) || monotonic_now() > call->deadline;
  if (!is_over) {
    follow_redirection(*call, outcome);
    auto delay = call->redirected_to.empty() ? kRetryDelay : kRedirectionDelay;
    environment_.loop.run_after(delay, [this, call] { send(call); });
    return;
  }
  Response response{is_clear(outcome) ? outcome.status : 0, outcome.body};
  const auto& request = call->request;
  if (request.expected.count(response.status) == 0)
    environment_.checker.report_violation(request.description + " is answered with " + std::to_string(response.status));
  call->on_response(response);
}

void Operator::follow_redirection(Call& call, const HttpOutcome& outcome) {
  if (outcome.status != 307)
    return;
  if (++call.redirections % kRedirectionCycle == 0)
    return;
  std::string location(header_value(outcome.fields, "Location"));
  auto address_end = location.find('/', kUrlScheme.size());
  call.redirected_to = location.substr(kUrlScheme.size(), address_end - kUrlScheme.size());
}

void Operator::call_in_turn(std::vector<Request> requests, OnDone on_done) {
  if (requests.empty()) {
    on_done();
    return;
  }
  auto first = std::move(requests.front());
  requests.erase(requests.begin());
  call(std::move(first), [this, rest = std::move(requests), on_done = std::move(on_done)](const Response&) {
    call_in_turn(rest, on_done);
  });
}

void Operator::apply_first_configuration(OnDone on_done) {
  configuration_ = first_configuration();
  auto put = [](const Json& document, int base_revision, Duration patience, const std::string& description,
                std::set<uint32_t> expected) {
    return Request{"PUT", "/v1/config", document.dump(), base_revision, patience, description, std::move(expected)};
  };
  auto invalid = invalid_configuration(configuration_);
  auto later = later_configuration(configuration_);
  call_in_turn({put(configuration_, 0, kFoundingPatience, "the first configuration", {200}),
                put(configuration_, 0, kQuietPatience, "the same configuration again", {200}),
                put(invalid, kFirstRevision, kQuietPatience, "an invalid configuration", {400, 409, 422}),
                put(later, 3, kQuietPatience, "a configuration on another version", {412})},
               std::move(on_done));
}

void Operator::change_routes(OnDone on_done) {
  auto change = platform_stub::change_routes(configuration_);
  configuration_ = std::move(change.result);
  Request request{"PATCH", "/v1/config", change.patch.dump(), kFirstRevision, kPatience, "a change of named items",
                  {200}};
  call(std::move(request), [this, on_done = std::move(on_done)](const Response&) {
    auto in_force_at = monotonic_now() + kChangePropagation;
    environment_.checker.set_route("/safe/", "app2", in_force_at);
    environment_.checker.set_route("/old/", "", in_force_at);
    environment_.loop.run_after(kChangePropagation + kChangeMargin, on_done);
  });
}

Json Operator::revised_configuration() {
  constexpr uint64_t kMaxRevisionStep = 3;
  constexpr uint64_t kMinTargetMs = 500;
  constexpr uint64_t kTargetRangeMs = 1500;
  auto revised = configuration_;
  auto step = 1 + environment_.random_below(kMaxRevisionStep);
  revised["Revision"] = configuration_["Revision"].get<uint64_t>() + step;
  revised["Routes"][0]["TargetLatencyMs"] = kMinTargetMs + environment_.random_below(kTargetRangeMs);
  return revised;
}

void Operator::revise(OnDone on_done) {
  auto base = configuration_["Revision"].get<int>();
  auto revised = revised_configuration();
  Json patch{{"Revision", revised["Revision"]}, {"Upsert", {{"Routes", Json::array({revised["Routes"][0]})}}}};
  configuration_ = std::move(revised);
  Request request{"PATCH", "/v1/config", patch.dump(), base, kPatience, "a change of one route", {200}};
  call(std::move(request), [on_done = std::move(on_done)](const Response&) { on_done(); });
}

void Operator::add_routes(int count, OnDone on_done) {
  Json added = Json::array();
  for (int number = 0; number < count; ++number)
    added.push_back(unused_route(configuration_["Routes"].size() + static_cast<size_t>(number)));
  add(added, Json::array(), std::move(on_done));
}

void Operator::add(const Json& routes, const Json& services, OnDone on_done) {
  auto base = configuration_["Revision"].get<int>();
  configuration_["Revision"] = base + 1;
  Json patch{{"Revision", base + 1}, {"Upsert", {{"Routes", routes}}}};
  if (!services.empty())
    patch["Upsert"]["Services"] = services;
  for (const auto& route : routes)
    configuration_["Routes"].push_back(route);
  for (const auto& service : services)
    configuration_["Services"].push_back(service);
  Request request{"PATCH", "/v1/config", patch.dump(), base, kPatience, "an addition of routes", {200}};
  call(std::move(request), [on_done = std::move(on_done)](const Response&) { on_done(); });
}

void Operator::race(OnDone on_done) {
  // What both changes share until both have been answered.
  struct Race {
    int answered = 0;
    std::vector<Json> acknowledged;
  };
  auto race = std::make_shared<Race>();
  auto base = configuration_["Revision"].get<int>();
  for (int rival = 0; rival < 2; ++rival) {
    auto revised = revised_configuration();
    Request request{"PUT", "/v1/config", revised.dump(), base, kPatience, "one of two changes at once", {200, 412}};
    call(std::move(request), [this, race, revised, on_done](const Response& response) {
      if (response.status == 200)
        race->acknowledged.push_back(revised);
      if (++race->answered < 2)
        return;
      if (race->acknowledged.size() == 1)
        configuration_ = race->acknowledged.front();
      else if (race->acknowledged.size() != 2 || race->acknowledged[0] != race->acknowledged[1])
        environment_.checker.report_violation(std::to_string(race->acknowledged.size()) +
                                              " of two changes at once are acknowledged");
      on_done();
    });
  }
}

void Operator::try_invalid(OnDone on_done) {
  auto base = configuration_["Revision"].get<int>();
  auto invalid = revised_configuration();
  invalid["Routes"][0]["Service"] = "nobody";
  Request request{"PUT", "/v1/config", invalid.dump(), base, kPatience, "an invalid configuration", {400, 409, 422}};
  call(std::move(request), [on_done = std::move(on_done)](const Response&) { on_done(); });
}

void Operator::evacuate(const std::string& zone, OnDone on_done) {
  Request request{"POST", "/v1/evacuate/" + zone, "", std::nullopt, kPatience, "an evacuation", {200, 202, 204}};
  call(std::move(request), [on_done = std::move(on_done)](const Response&) { on_done(); });
}

void Operator::restore(const std::string& zone) {
  Request request{"DELETE", "/v1/evacuate/" + zone, "", std::nullopt, kPatience, "its withdrawal", {200, 202, 204}};
  call(std::move(request), [](const Response&) {});
}

void Operator::request_retirements() {
  Request of_unknown{"POST",
                     "/v1/retire/storage-9",
                     retirement_request(),
                     std::nullopt,
                     kPatience,
                     "the retirement of an unknown machine",
                     {404}};
  Request of_needed{
      "POST", "/v1/retire/storage-2", retirement_request(), std::nullopt, kPatience, "a retirement that leaves too few",
      {409}};
  Request state{"GET", "/v1/retire/storage-2", "", std::nullopt, kPatience, "the state of a machine", {200}};
  call(std::move(of_unknown), [](const Response&) {});
  call(std::move(of_needed), [](const Response&) {});
  call(std::move(state), [this](const Response& response) {
    if (response.body.find("serving") == std::string::npos)
      environment_.checker.report_violation("a machine that serves is said to be " + response.body);
  });
}

void Operator::read_back(OnDone on_done) {
  Request request{"GET", "/v1/config", "", std::nullopt, kPatience, "the configuration read back", {200}};
  call(std::move(request), [this, on_done = std::move(on_done)](const Response& response) {
    auto configuration = Json::parse(response.body, nullptr, false);
    if (configuration.is_discarded() || configuration != configuration_)
      environment_.checker.report_violation("another configuration is read back: " + response.body);
    on_done();
  });
}

}  // namespace mosskeel::platform_stub
