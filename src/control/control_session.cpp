#include "control/control_session.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "control/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {

using Code = CommandResult::Code;

/// Returns the store that registered last on this machine, or nullptr.
const Daemon* find_store(const Metadata& metadata, const std::string& machine) {
  if (machine.empty())
    return nullptr;
  const Daemon* latest = nullptr;
  for (const auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role == Role::store && daemon.self.machine == machine)
      latest = &daemon;
  }
  return latest;
}

/// Returns whether a store has left, and no partition stores histories on it now or after a pending move.
bool is_emptied(const Metadata& metadata, const Daemon& store) {
  if (store.state != DaemonState::left || metadata.sequences.count(store.id))
    return false;
  return std::none_of(metadata.partitions.begin(), metadata.partitions.end(), [&](const Partition& partition) {
    return contains(partition.stores, store.id) || contains(partition.pending_stores, store.id);
  });
}

/// Returns the HTTP address of a random core member to which a request can be redirected; empty if there is none.
Address random_member_address(const Metadata& metadata) {
  std::vector<Address> addresses;
  for (auto id : metadata.members) {
    const auto* daemon = metadata.find(id);
    if (daemon && daemon->state == DaemonState::up && !daemon->self.http_address.empty())
      addresses.push_back(daemon->self.http_address);
  }
  if (addresses.empty())
    return "";
  return addresses[random_number() % addresses.size()];
}

Code result_code(Rejection rejection) {
  switch (rejection) {
    case Rejection::revision_conflict:
      return Code::revision_mismatch;
    case Rejection::invalid:
      return Code::invalid;
    case Rejection::refused:
      return Code::rejected;
    case Rejection::unknown_target:
      return Code::not_found;
    case Rejection::none:
    case Rejection::forgotten:
    case Rejection::already_in_effect:
    case Rejection::busy:
      return Code::outcome_unknown;
  }
  return Code::outcome_unknown;
}

bool has_majority_contact(const ControllerMachine& controller, const Metadata& metadata, TimePoint now) {
  auto has_recent_heartbeat = [&](DaemonId id) {
    const auto* daemon = metadata.find(id);
    return daemon &&
           controller.failure_detector().heartbeat_age(*daemon, now) < kHeartbeatInterval * kMaxMissedHeartbeats;
  };
  auto reporting = std::count_if(metadata.members.begin(), metadata.members.end(), has_recent_heartbeat);
  return static_cast<size_t>(reporting) >= majority_of(metadata.members.size());
}

/// A core member without contact to a majority is unavailable, and a controller that is not a member yet redirects to
/// one. This check only avoids waiting for a timeout: a majority still has to confirm every result.
std::optional<ClusterControl::Unavailable> find_unavailability(const ControllerMachine& controller, TimePoint now) {
  const auto view = controller.view();
  if (controller.removed_by_refounding())
    return {{"", "the core was founded anew without this controller"}};
  if (!view->cluster)
    return {{"", "the cluster is not founded yet"}};
  if (!view->is_core_member(controller.self().incarnation))
    return {{random_member_address(*view), "this controller is not a core member yet"}};
  if (!has_majority_contact(controller, *view, now))
    return {{"", "cut off from a majority of the core"}};
  return std::nullopt;
}

/// Returns why this store's copies of histories cannot be relied on, or nullopt.
std::optional<std::string> store_fault(const ControllerMachine& controller, const Daemon& store, TimePoint now) {
  const auto* status = controller.failure_detector().status_of(store.self.incarnation);
  auto daemon = " daemon " + std::to_string(store.id.value());
  if (!status || now - status->last_heartbeat_at > kHeartbeatTimeout)
    return daemon + " is silent;";
  if (status->incomplete_comparisons)
    return daemon + " lacks replicas in " + std::to_string(status->incomplete_comparisons) + " comparisons;";
  return std::nullopt;
}

}  // namespace

/// A majority confirms each rejection at the highest epoch, without a log entry. Therefore committing a change that is
/// always rejected, the removal of a replica without a name, serves as a read of the latest metadata.
MetadataSnapshot linearizable_read(ControllerAccess& controller, Duration timeout) {
  auto reply = controller.commit(RemoveReplica{""}, controller.new_commit_id("read"), timeout);
  if (reply.outcome != CommitOutcome::rejected)
    return nullptr;
  MetadataSnapshot view;
  controller.inspect([&](ControllerMachine& machine, TimePoint) { view = machine.view(); });
  return view;
}

/// A store is not drained while any store lacks copies, because the drained store might hold the last copy of a
/// history.
std::optional<std::string> drain_hazard(const ControllerMachine& controller, const Transformation& change,
                                        TimePoint now) {
  const auto* drain = std::get_if<PrepareDrain>(&change);
  if (!drain)
    return std::nullopt;
  const auto view = controller.view();
  const auto* leaving = view->find(drain->node);
  if (!leaving || leaving->self.role != Role::store)
    return std::nullopt;
  std::string faults;
  for (const auto& [id, daemon] : view->directory) {
    if (daemon.self.role != Role::store || daemon.state != DaemonState::up)
      continue;
    faults += store_fault(controller, daemon, now).value_or("");
  }
  if (faults.empty())
    return std::nullopt;
  return "replicas are missing:" + faults + " wait for the repair (metric incomplete_comparisons must be 0)";
}

ControlSession::ControlSession(ControllerAccess& controller, TimePoint arrived_at)
    : controller_(controller), deadline_(arrived_at + kOperatorRequestTimeout) {}

Duration ControlSession::time_left() {
  return std::max(Duration::zero(), deadline_ - controller_.now());
}

std::optional<ClusterControl::Unavailable> ControlSession::unavailability() {
  std::optional<Unavailable> found;
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) { found = find_unavailability(machine, now); });
  return found;
}

MetadataSnapshot ControlSession::read_metadata() {
  return linearizable_read(controller_, time_left());
}

CommandResult ControlSession::wait_until_in_force() {
  Epoch epoch{};
  controller_.inspect([&](ControllerMachine& machine, TimePoint) { epoch = machine.view()->epoch; });
  return wait_until_in_force(epoch);
}

CommandResult ControlSession::wait_until_in_force(Epoch epoch) {
  std::string missing = "the machine has stopped";
  while (!controller_.stopped()) {
    controller_.inspect(
        [&](ControllerMachine& machine, TimePoint now) { missing = machine.missing_acknowledgements(epoch, now); });
    if (missing.empty())
      return {Code::done, ""};
    if (time_left() <= kInForcePollInterval)
      break;
    controller_.pause(kInForcePollInterval);
  }
  return {Code::outcome_unknown, "epoch " + std::to_string(epoch.value()) + " is not yet in force: " + missing};
}

std::string ControlSession::describe_timeout() {
  std::string reason = "no outcome in time";
  if (controller_.stopped())
    return reason + "; this controller is stopping";
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) {
    auto epoch = machine.view()->epoch;
    auto missing = machine.missing_acknowledgements(epoch, now);
    if (!missing.empty())
      reason += "; epoch " + std::to_string(epoch.value()) + " is in the log and not in force: " + missing;
  });
  return reason;
}

/// Derives the result only from the commit's reply, because metadata read later may differ from the state in which the
/// change was decided.
CommandResult ControlSession::execute(const Transformation& change, const std::string& commit_id) {
  auto reply = controller_.commit(change, commit_id, time_left());
  switch (reply.outcome) {
    case CommitOutcome::committed:
      return {Code::done, ""};
    case CommitOutcome::unknown:
      return {Code::outcome_unknown, reply.reason.empty() ? describe_timeout() : reply.reason};
    case CommitOutcome::rejected:
      break;
  }
  if (reply.rejection == Rejection::already_in_effect)
    return wait_until_in_force(reply.epoch);
  return {result_code(reply.rejection), reply.reason};
}

CommandResult ControlSession::apply_configuration(const std::string& commit_id, Revision base, Revision revision,
                                                  const Configuration& configuration) {
  return execute(ApplyConfiguration{base, configuration, revision}, commit_id);
}

CommandResult ControlSession::evacuate(const std::string& zone) {
  return execute(EvacuateZone{zone}, controller_.new_commit_id("evacuate"));
}

CommandResult ControlSession::restore(const std::string& zone) {
  return execute(RestoreZone{zone}, controller_.new_commit_id("restore"));
}

CommandResult ControlSession::retire(const std::string& machine) {
  auto view = read_metadata();
  if (!view)
    return {Code::outcome_unknown, kNoMajorityReason};
  const auto* store = find_store(*view, machine);
  if (!store)
    return {Code::not_found, "no store has registered on machine " + machine};
  const PrepareDrain drain{store->id};
  std::optional<std::string> hazard;
  controller_.inspect(
      [&](ControllerMachine& controller, TimePoint now) { hazard = drain_hazard(controller, drain, now); });
  // A drain that would be rejected anyway is still committed, to get the typed reason of the rejection.
  bool applicable = apply(*view, {next(view->epoch), "", drain}).ok();
  if (hazard && applicable)
    return {Code::outcome_unknown, *hazard};
  return execute(drain, controller_.new_commit_id("retire"));
}

RetirementState ControlSession::retirement_state(const std::string& machine) {
  auto view = read_metadata();
  if (!view)
    return RetirementState::unconfirmed;
  const auto* store = find_store(*view, machine);
  if (!store)
    return RetirementState::unknown_machine;
  std::string missing;
  controller_.inspect([&](ControllerMachine& controller, TimePoint now) {
    missing = controller.missing_acknowledgements(store->since, now);
  });
  bool finished = is_emptied(*view, *store) && missing.empty();
  return finished ? RetirementState::finished : RetirementState::serving;
}

}  // namespace mosskeel
