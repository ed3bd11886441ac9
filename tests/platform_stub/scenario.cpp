#include "platform_stub/scenario.hpp"

#include <cstdio>

#include "platform_stub/app_replica.hpp"
#include "platform_stub/model_replica.hpp"

namespace mosskeel::platform_stub {

namespace {

/// The share of the requests that has to be served for a run to pass.
constexpr double kRequiredShare = 0.95;
/// How long the gateways may take to become ready.
constexpr Duration kReadinessTimeout = 40000ms;
constexpr Duration kPollInterval = 100ms;
/// From the readiness of all gateways to the traffic, so that the replica list has reached them.
constexpr Duration kTrafficDelay = 2500ms;
/// From the end of the traffic to the first look for open requests; longer than any interval of traffic jitters.
constexpr Duration kEndDelay = 200ms;
/// How long requests may stay open after the traffic; longer than all their attempts.
constexpr Duration kOpenRequestTimeout = 30000ms;
/// What was sent on a route shortly before its removal may be retried behind it.
constexpr Duration kRouteRemovalMargin = 500ms;
constexpr Duration kColdStartTime = 5000ms;
/// How long after its acknowledgement an evacuation may take until no replica of the zone is asked.
constexpr Duration kEvacuationPropagation = 5000ms;
/// The number of the rogue replica; the others count from 0.
constexpr int kRogueReplicaNumber = 19;

const std::string& last_zone() {
  return kZoneNames.back();
}

}  // namespace

Scenario::Scenario(const FleetAddresses& addresses, Duration traffic_duration, bool calm)
    : environment_(addresses, calm),
      callers_(environment_),
      program_callers_(environment_, callers_),
      operator_(environment_),
      traffic_duration_(traffic_duration) {
  struct ServiceSize {
    std::string service;
    size_t replicas;
  };
  const ServiceSize sizes[] = {{"model", 3}, {"app", 3}, {"app2", 2}, {"rogue", 1}};
  for (const auto& size : sizes) {
    for (size_t zone = 0; zone < size.replicas; ++zone)
      add_replica(size.service, kZoneNames[zone]);
  }
  ListedReplica rogue;
  rogue.id = "i-" + environment_.random_name();
  rogue.service = "rogue";
  rogue.zone = kZoneNames.front();
  rogue.address = environment_.addresses.replica(kRogueReplicaNumber);
  rogue_ = std::make_unique<RogueReplica>(environment_, std::move(rogue));
  list_server_ = std::make_unique<ReplicaListServer>(environment_, [this] { return list_replicas(); });
}

Replica& Scenario::add_replica(const std::string& service, const std::string& zone) {
  ListedReplica listed;
  listed.id = "i-" + environment_.random_name();
  listed.service = service;
  listed.zone = zone;
  listed.address = environment_.addresses.replica(static_cast<int>(replicas_.size()));
  if (service == "model")
    replicas_.push_back(std::make_unique<ModelReplica>(environment_, std::move(listed)));
  else
    replicas_.push_back(std::make_unique<AppReplica>(environment_, std::move(listed)));
  return *replicas_.back();
}

std::vector<ListedReplica> Scenario::list_replicas() const {
  std::vector<ListedReplica> listed{rogue_->listed};
  for (const auto& replica : replicas_) {
    auto gone_from = replica->listed.gone_from();
    if (!gone_from || monotonic_now() < *gone_from)
      listed.push_back(replica->listed);
  }
  return listed;
}

bool Scenario::run() {
  auto deadline = monotonic_now() + kReadinessTimeout;
  operator_.apply_first_configuration([this, deadline] { await_ready_fleet(deadline); });
  environment_.loop.run();
  auto& checker = environment_.checker;
  checker.check_totals();
  const auto& served = environment_.served;
  served.print();
  printf("all        %4d of %4d served; %d violations\n", served.served(), served.requests(), checker.violations());
  fflush(stdout);
  return served.reaches(kRequiredShare) && checker.violations() == 0;
}

void Scenario::await_ready_fleet(MonotonicTime deadline) {
  bool is_ready = callers_.all_gateways_ready();
  if (!is_ready && monotonic_now() < deadline) {
    environment_.loop.run_after(kPollInterval, [this, deadline] { await_ready_fleet(deadline); });
    return;
  }
  if (!is_ready)
    environment_.checker.report_violation("not all gateways are ready");
  environment_.loop.run_after(kTrafficDelay, [this] { begin_traffic(); });
}

void Scenario::begin_traffic() {
  traffic_begin_ = monotonic_now();
  printf("traffic begins\n");
  fflush(stdout);
  begin_plain_traffic();
  begin_programs();
  begin_changed_routes();
  if (!environment_.is_calm)
    schedule_changes();
  environment_.loop.run_after(traffic_duration_ + kEndDelay, [this] { await_end(); });
}

void Scenario::begin_plain_traffic() {
  auto repeat_plain = [this](Duration interval, RequestKind kind, const std::string& route) {
    repeat(interval, [this, kind, route] { callers_.send_plain(kind, route); });
  };
  repeat_plain(170ms, RequestKind::safe, "safe");
  repeat_plain(250ms, RequestKind::unsafe, "unsafe");
  if (!environment_.is_calm)
    repeat_plain(500ms, RequestKind::safe, "rogue");
  repeat_plain(500ms, RequestKind::stream, "stream");
  repeat_plain(500ms, RequestKind::resumable, "resume");
}

void Scenario::begin_programs() {
  repeat(800ms, [this] { program_callers_.start_program(true); });
  repeat(2000ms, [this] { program_callers_.start_program(false); });
  repeat(4000ms, [this] {
    bool is_history_kept = environment_.random_below(2) == 1;
    program_callers_.start_runaway(is_history_kept);
  });
  repeat(2000ms, [this] { program_callers_.send_turn_on_unknown_turn(); });
}

void Scenario::begin_changed_routes() {
  repeat(300ms, [this] {
    if (route_change_ == RouteChange::in_force)
      callers_.send_plain(RequestKind::safe, "new");
  });
  repeat(700ms, [this] {
    if (route_change_ == RouteChange::not_begun)
      callers_.send_plain(RequestKind::safe, "old");
    if (route_change_ == RouteChange::in_force)
      send_on_removed_route();
  });
}

void Scenario::send_on_removed_route() {
  auto request = std::make_shared<CallerRequest>();
  request->route = "old";
  request->on_done = [this](const RequestResult& result) {
    if (result.status >= 200 && result.status < 300)
      environment_.checker.report_violation(result.last_attempt + " is served on a route that was removed");
  };
  callers_.send(request);
}

void Scenario::schedule_changes() {
  auto route_change_begin = traffic_duration_ * 3 / 10 - kRouteRemovalMargin;
  environment_.loop.run_after(route_change_begin, [this] { route_change_ = RouteChange::under_way; });
  run_at_tenth(3, [this] { operator_.change_routes([this] { route_change_ = RouteChange::in_force; }); });
  run_at_tenth(4, [this] { replace_first_replica(); });
  run_at_tenth(5, [this] { evacuate_last_zone(); });
  run_at_tenth(6, [this] { operator_.request_retirements(); });
  run_at_tenth(9, [this] { restore_last_zone(); });
}

void Scenario::replace_first_replica() {
  replicas_.front()->listed.draining_since = monotonic_now();
  auto& replacement = add_replica("model", kZoneNames.front());
  replacement.listed.cold_until = monotonic_now() + kColdStartTime;
}

void Scenario::evacuate_last_zone() {
  operator_.evacuate(last_zone(), [this] {
    for (auto& replica : replicas_) {
      if (replica->listed.zone == last_zone())
        replica->evacuated_from = monotonic_now() + kEvacuationPropagation;
    }
  });
}

void Scenario::restore_last_zone() {
  for (auto& replica : replicas_)
    replica->evacuated_from.reset();
  operator_.restore(last_zone());
}

void Scenario::await_end() {
  bool has_open_requests = callers_.open_requests() > 0;
  if (has_open_requests && monotonic_now() < traffic_begin_ + traffic_duration_ + kOpenRequestTimeout) {
    environment_.loop.run_after(kPollInterval, [this] { await_end(); });
    return;
  }
  if (has_open_requests)
    environment_.checker.report_violation("requests stay open");
  operator_.read_back([this] { environment_.loop.stop(); });
}

void Scenario::repeat(Duration interval, const std::function<void()>& function) {
  environment_.repeat(interval, traffic_begin_ + traffic_duration_, function);
}

void Scenario::run_at_tenth(int tenths, std::function<void()> function) {
  environment_.loop.run_after(traffic_duration_ * tenths / 10, std::move(function));
}

}  // namespace mosskeel::platform_stub
