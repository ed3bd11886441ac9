#include "soak/fault_schedule.hpp"

#include <algorithm>

namespace mosskeel::soak {

namespace {

constexpr Duration kMinPause = 300ms;
constexpr Duration kMaxPause = 4000ms;
constexpr Duration kMinDowntime = 100ms;
constexpr Duration kMaxDowntime = 3000ms;
/// What an evacuation, or slow work, lasts at most.
constexpr Duration kMaxCondition = 8000ms;

struct KindName {
  FaultKind kind;
  const char* name;
};

constexpr KindName kNames[] = {{FaultKind::restart, "restart"},
                               {FaultKind::kill, "kill"},
                               {FaultKind::disk_loss, "disk_loss"},
                               {FaultKind::freeze, "freeze"},
                               {FaultKind::hangup, "hangup"},
                               {FaultKind::overlapping_restart, "overlapping_restart"},
                               {FaultKind::instant_restart, "instant_restart"},
                               {FaultKind::early_hangups, "early_hangups"},
                               {FaultKind::stop_series, "stop_series"},
                               {FaultKind::change, "change"},
                               {FaultKind::race, "race"},
                               {FaultKind::invalid_change, "invalid_change"},
                               {FaultKind::evacuation, "evacuation"},
                               {FaultKind::slow_replicas, "slow_replicas"}};

std::vector<FaultKind> kinds_of(Lane lane) {
  using enum FaultKind;
  switch (lane) {
    case Lane::counted:
      return {restart,         kill,          disk_loss,  freeze, hangup, overlapping_restart,
              instant_restart, early_hangups, stop_series};
    case Lane::first_front:
    case Lane::other_fronts:
      return {restart, kill, freeze, hangup, overlapping_restart, instant_restart, early_hangups, stop_series};
    case Lane::operators:
      return {change, race, invalid_change, evacuation, slow_replicas};
  }
  return {};
}

bool is_condition(FaultKind kind) {
  return kind == FaultKind::evacuation || kind == FaultKind::slow_replicas;
}

int draw_index(std::mt19937_64& random, int count) {
  return static_cast<int>(random() % static_cast<uint64_t>(count));
}

}  // namespace

bool concerns_machine(FaultKind kind) {
  return kind < FaultKind::change;
}

const char* name(FaultKind kind) {
  for (const auto& entry : kNames) {
    if (entry.kind == kind)
      return entry.name;
  }
  return "";
}

std::optional<FaultKind> fault_kind(const std::string& name) {
  for (const auto& entry : kNames) {
    if (entry.name == name)
      return entry.kind;
  }
  return std::nullopt;
}

FaultSchedule::FaultSchedule(Lane lane, uint64_t seed, const std::set<FaultKind>& only,
                             const platform_stub::FleetSize& size)
    : lane_(lane), size_(size), random_(seed * std::size(kLanes) + static_cast<uint64_t>(lane)) {
  for (auto kind : kinds_of(lane)) {
    if (only.empty() || only.count(kind) > 0)
      kinds_.push_back(kind);
  }
}

Duration FaultSchedule::draw(Duration least, Duration most) {
  return least + Duration(random_() % static_cast<uint64_t>((most - least).count()));
}

MachineId FaultSchedule::draw_machine() {
  switch (lane_) {
    case Lane::counted:
      if (random_() % 2 == 0)
        return {MachineClass::core, draw_index(random_, size_.controllers)};
      return {MachineClass::storage, draw_index(random_, size_.stores)};
    case Lane::first_front:
      return {MachineClass::front, 0};
    case Lane::other_fronts:
      return {MachineClass::front, 1 + draw_index(random_, size_.gateways - 1)};
    case Lane::operators:
      return {MachineClass::front, draw_index(random_, platform_stub::kZones)};
  }
  return {};
}

Fault FaultSchedule::next() {
  Fault fault;
  fault.kind = kinds_[random_() % kinds_.size()];
  fault.machine = draw_machine();
  fault.duration = draw(kMinDowntime, is_condition(fault.kind) ? kMaxCondition : kMaxDowntime);
  return fault;
}

Duration FaultSchedule::next_pause() {
  auto pause = draw(kMinPause, kMaxPause);
  return lane_ == Lane::counted ? pause + kCatchUpTime : pause;
}

}  // namespace mosskeel::soak
