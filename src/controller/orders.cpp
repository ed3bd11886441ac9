// A platform's orders, each within the patience of an operator who turns to another controller.
#include <algorithm>

#include "kernel/daemon.hpp"
#include "controller/admin_api.hpp"

namespace mosskeel {
namespace {

using Kind = Verdict::Kind;

Millis deadline() {
  return process_now() + limits::operator_patience;
}
Millis left(Millis until) {
  return std::max<Millis>(0, until - process_now());
}
std::string once(const char* what) {
  return std::string(what) + "-" + hex(dice());
}

/// The last store that came up on this machine.
const Daemon* store_on(const Metadata& m, const std::string& machine) {
  const Daemon* last = nullptr;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::store && !machine.empty() && d.self.machine == machine) last = &d;
  return last;
}

bool known_zone(const Metadata& m, const std::string& zone) {
  return std::any_of(m.directory.begin(), m.directory.end(), [&](auto& d) { return d.second.self.zone == zone; }) ||
         std::any_of(m.replicas.begin(), m.replicas.end(), [&](auto& r) { return r.second.zone == zone; });
}

bool emptied(const Metadata& m, const Daemon& d) {
  if (d.state != DaemonState::left || m.sequences.count(d.id)) return false;
  return std::none_of(m.slots.begin(), m.slots.end(), [&](auto& s) {
    return std::count(s.stores.begin(), s.stores.end(), d.id) || std::count(s.pending.begin(), s.pending.end(), d.id);
  });
}

bool leaving(const Metadata& m, const Daemon& d) {
  auto q = m.sequences.find(d.id);
  return d.state == DaemonState::left || d.state == DaemonState::draining ||
         (q != m.sequences.end() && q->second.kind == SequenceKind::drain);
}

}  // namespace

View AdminApi::newest() {
  return newest(deadline());
}

Verdict AdminApi::settled() {
  return settled(latest()->epoch, deadline());
}

/// A member that hears no majority can do nothing; a controller that is no member yet names one.
std::optional<Control::Absent> AdminApi::absent() {
  std::optional<Absent> x;
  host_.ask([&](Machine& machine, Millis now) {
    auto& k = static_cast<ControllerMachine&>(machine);
    auto& m = *k.view();
    auto near = [&](const Daemon& d) { return k.failure_detector().silence(d, now) < limits::heartbeat * 4; };
    if (k.outdated()) return void(x = {"", "the core was founded anew without this controller"});
    if (!m.cluster) return void(x = {"", "the cluster is not founded yet"});
    if (!m.member(k.self().inc)) {
      std::vector<Address> others;
      for (auto id : m.members)
        if (auto* d = m.find(id); d && d->state == DaemonState::up && !d->self.http.empty())
          others.push_back(d->self.http);
      return void(x = {others.empty() ? "" : others[dice() % others.size()], "this controller is no core member yet"});
    }
    auto n =
        std::count_if(m.members.begin(), m.members.end(), [&](auto id) { return m.find(id) && near(*m.find(id)); });
    if (static_cast<size_t>(n) < majority_of(m.members.size())) x = {"", "cut off from a majority of the core"};
  });
  return x;
}

Verdict AdminApi::apply(const std::string& id, Revision base, Revision own, const Configuration& m) {
  auto until = deadline();
  auto r = commit(ApplyConfiguration{base, m, own}, id, left(until));
  if (r.outcome == Outcome::yes) return {Kind::done, ""};
  if (r.outcome == Outcome::unknown) return {Kind::unclear, r.reason};
  return {latest()->revision == base ? Kind::invalid : Kind::other_base, r.reason};
}

Verdict AdminApi::evacuate(const std::string& zone) {
  auto until = deadline();
  auto r = commit(EvacuateZone{zone}, once("evacuate"), left(until));
  if (r.outcome == Outcome::yes) return {Kind::done, ""};
  if (r.outcome == Outcome::unknown) return {Kind::unclear, r.reason};
  auto v = latest();
  if (v->evacuated.count(zone)) return settled(v->epoch, until);
  return {known_zone(*v, zone) ? Kind::refused : Kind::unknown, r.reason};
}

Verdict AdminApi::restore(const std::string& zone) {
  auto until = deadline();
  auto r = commit(RestoreZone{zone}, once("restore"), left(until));
  if (r.outcome == Outcome::yes) return {Kind::done, ""};
  auto v = latest();
  if (r.outcome == Outcome::unknown || v->evacuated.count(zone)) return {Kind::unclear, r.reason};
  return settled(v->epoch, until);
}

Verdict AdminApi::retire(const std::string& machine) {
  auto until = deadline();
  auto v = newest(until);
  if (!v) return {Kind::unclear, "no majority of the core answered in time"};
  auto* d = store_on(*v, machine);
  if (!d) return {Kind::unknown, "no store has come up on machine " + machine};
  if (leaving(*v, *d)) return settled(v->epoch, until);
  if (auto p = places::for_drain(*v, *d); !ok(p)) return {Kind::refused, render(findings(p))};
  auto r = commit(PrepareDrain{d->id}, once("retire"), left(until));
  if (r.outcome == Outcome::yes) return {Kind::done, ""};
  if (r.outcome == Outcome::unknown) return {Kind::unclear, r.reason};
  v = latest();
  d = store_on(*v, machine);
  if (d && leaving(*v, *d)) return settled(v->epoch, until);
  if (auto p = d ? places::for_drain(*v, *d) : Result<std::vector<Move>>{}; !ok(p))
    return {Kind::refused, render(findings(p))};
  return {Kind::unclear, r.reason};
}

Retirement AdminApi::retirement(const std::string& machine) {
  auto until = deadline();
  auto v = latest();
  auto* d = store_on(*v, machine);
  if (!d) {
    v = newest(until);
    d = v ? store_on(*v, machine) : nullptr;
    if (!d) return v ? Retirement::unknown : Retirement::serving;
  }
  std::string lacking;
  host_.ask([&](Machine& m, Millis now) { lacking = static_cast<ControllerMachine&>(m).lacking(d->since, now); });
  return emptied(*v, *d) && lacking.empty() ? Retirement::finished : Retirement::serving;
}

}  // namespace mosskeel
