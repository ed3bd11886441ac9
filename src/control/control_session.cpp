#include "control/control_session.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "control/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {

using Code = CommandResult::Code;

constexpr const char* unconfirmed = "no majority of the core answered in time";

/// The last store that came up on this machine.
const Daemon* store_on(const Metadata& m, const std::string& machine) {
  const Daemon* last = nullptr;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::store && !machine.empty() && d.self.machine == machine)
      last = &d;
  return last;
}

bool emptied(const Metadata& m, const Daemon& d) {
  if (d.state != DaemonState::left || m.sequences.count(d.id))
    return false;
  return std::none_of(m.partitions.begin(), m.partitions.end(), [&](auto& s) {
    return std::count(s.stores.begin(), s.stores.end(), d.id) ||
           std::count(s.pending_stores.begin(), s.pending_stores.end(), d.id);
  });
}

/// A controller that is a member of the core and may be asked instead.
Address other_member(const Metadata& m) {
  std::vector<Address> others;
  for (auto id : m.members)
    if (auto* d = m.find(id); d && d->state == DaemonState::up && !d->self.http_address.empty())
      others.push_back(d->self.http_address);
  return others.empty() ? "" : others[dice() % others.size()];
}

Code code_of(Rejection r) {
  switch (r) {
    case Rejection::revision_conflict:
      return Code::revision_mismatch;
    case Rejection::invalid:
      return Code::invalid;
    case Rejection::refused:
      return Code::rejected;
    case Rejection::unknown_target:
      return Code::not_found;
    default:
      return Code::outcome_unknown;
  }
}

}  // namespace

/// A rejection is confirmed by a majority at the highest epoch, and nothing is logged: so asking for what is never
/// granted, to forget a replica without a name, reads the newest metadata.
View linearizable_read(ControllerAccess& controller, Millis patience) {
  auto r = controller.commit(RemoveReplica{""}, "read-" + hex(dice()), patience);
  View v;
  if (r.outcome == CommitOutcome::rejected)
    controller.inspect([&](ControllerMachine& m, Millis) { v = m.view(); });
  return v;
}

/// A store is not retired while another one lacks copies: the one that goes might be the last to hold a history.
std::string drain_hazard(ControllerMachine& m, const Transformation& t, Millis now) {
  auto* p = std::get_if<PrepareDrain>(&t);
  auto v = m.view();
  auto* d = p ? v->find(p->node) : nullptr;
  if (!d || d->self.role != Role::store)
    return "";
  std::string s;
  for (auto& [id, x] : v->directory) {
    if (x.self.role != Role::store || x.state != DaemonState::up)
      continue;
    auto* o = m.failure_detector().status_of(x.self.incarnation);
    if (!o || now - o->last_heartbeat_at > kHeartbeatTimeout)
      s += " daemon " + std::to_string(id.value()) + " is silent;";
    else if (o->incomplete_comparisons)
      s += " daemon " + std::to_string(id.value()) + " lacks copies in " + std::to_string(o->incomplete_comparisons) +
           " comparisons;";
  }
  return s.empty() ? "" : "copies are lacking:" + s + " wait for the repair (metric incomplete_comparisons must be 0)";
}

ControlSession::ControlSession(ControllerAccess& controller, Millis arrived)
    : controller_(controller), until_(arrived + kOperatorRequestTimeout) {}

Millis ControlSession::left() {
  return std::max<Millis>(0, until_ - controller_.now());
}

/// A member that hears no majority can do nothing; a controller that is no member yet names one. This only spares the
/// wait: whoever passes has still to be confirmed by a majority before any verdict.
std::optional<ClusterControl::Unavailable> ControlSession::unavailability() {
  std::optional<Unavailable> x;
  controller_.inspect([&](ControllerMachine& k, Millis now) {
    auto& m = *k.view();
    auto near = [&](DaemonId id) {
      auto* d = m.find(id);
      return d && k.failure_detector().heartbeat_age(*d, now) < kHeartbeatInterval * 4;
    };
    if (k.removed_by_refounding())
      return void(x = {"", "the core was founded anew without this controller"});
    if (!m.cluster)
      return void(x = {"", "the cluster is not founded yet"});
    if (!m.is_core_member(k.self().incarnation))
      return void(x = {other_member(m), "this controller is no core member yet"});
    auto heard = std::count_if(m.members.begin(), m.members.end(), near);
    if (static_cast<size_t>(heard) < majority_of(m.members.size()))
      x = {"", "cut off from a majority of the core"};
  });
  return x;
}

View ControlSession::read_metadata() {
  return linearizable_read(controller_, left());
}

CommandResult ControlSession::wait_until_in_force() {
  Epoch at{};
  controller_.inspect([&](ControllerMachine& m, Millis) { at = m.view()->epoch; });
  return in_force(at);
}

CommandResult ControlSession::in_force(Epoch at) {
  std::string why = "the machine has stopped";
  while (!controller_.stopped()) {
    controller_.inspect([&](ControllerMachine& m, Millis now) { why = m.missing_acknowledgements(at, now); });
    if (why.empty())
      return {Code::done, ""};
    if (left() <= kInForcePollInterval)
      break;
    controller_.pause(kInForcePollInterval);
  }
  return {Code::outcome_unknown, "epoch " + std::to_string(at.value()) + " is not yet in force: " + why};
}

/// The verdict comes out of the reply alone: a later look at the value may see another state than was decided on.
CommandResult ControlSession::order(const Transformation& t, const std::string& id) {
  auto r = controller_.commit(t, id, left());
  if (r.outcome == CommitOutcome::committed)
    return {Code::done, ""};
  if (r.outcome == CommitOutcome::unknown)
    return {Code::outcome_unknown, r.reason};
  if (r.rejection == Rejection::already_in_effect)
    return in_force(r.epoch);
  return {code_of(r.rejection), r.reason};
}

CommandResult ControlSession::apply_configuration(const std::string& id, Revision base, Revision own,
                                                  const Configuration& m) {
  return order(ApplyConfiguration{base, m, own}, id);
}

CommandResult ControlSession::evacuate(const std::string& zone) {
  return order(EvacuateZone{zone}, "evacuate-" + hex(dice()));
}

CommandResult ControlSession::restore(const std::string& zone) {
  return order(RestoreZone{zone}, "restore-" + hex(dice()));
}

CommandResult ControlSession::retire(const std::string& machine) {
  auto v = read_metadata();
  if (!v)
    return {Code::outcome_unknown, unconfirmed};
  auto* d = store_on(*v, machine);
  if (!d)
    return {Code::not_found, "no store has come up on machine " + machine};
  PrepareDrain drain{d->id};
  std::string why;
  controller_.inspect([&](ControllerMachine& m, Millis now) { why = drain_hazard(m, drain, now); });
  if (!why.empty() && mosskeel::apply(*v, {next(v->epoch), "", drain}).ok())
    return {Code::outcome_unknown, why};
  return order(drain, "retire-" + hex(dice()));
}

RetirementState ControlSession::retirement_state(const std::string& machine) {
  auto v = read_metadata();
  if (!v)
    return RetirementState::unconfirmed;
  auto* d = store_on(*v, machine);
  if (!d)
    return RetirementState::unknown_machine;
  std::string lacking;
  controller_.inspect([&](ControllerMachine& m, Millis now) { lacking = m.missing_acknowledgements(d->since, now); });
  return emptied(*v, *d) && lacking.empty() ? RetirementState::finished : RetirementState::serving;
}

}  // namespace mosskeel
