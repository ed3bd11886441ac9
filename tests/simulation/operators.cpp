// Simulated operators and the platform: metadata changes and the time limits within which they must take effect.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/callers.hpp"

namespace mosskeel::sim {
namespace {

/// Retry delay after an unknown outcome.
constexpr Duration kCommitRetry = 50ms;
/// An operator tries another controller after this time without a reply; a little longer than a controller works on one
/// commit.
constexpr Duration kCommitResponseTimeout = 2300ms;
/// A configuration is in force at each connected gateway 2 s after its acknowledgement; the rest allows for message
/// delays.
constexpr Duration kConfigurationLimit = 2100ms;
/// Time limit for the fleet to become ready.
constexpr Duration kStartTime = 60000ms;
/// The retention of the first cell; longer than any scenario.
constexpr int64_t kLongRetentionMs = 3600000;

bool is_committed(const CommitReply& reply) {
  return reply.outcome == CommitOutcome::committed;
}

}  // namespace

void Callers::commit(Transformation change, CommitHandler on_done, std::string id, Duration timeout) {
  if (id.empty())
    id = "sim-" + std::to_string(world_.next_random());
  auto pending = std::make_shared<PendingCommit>();
  pending->change = std::move(change);
  pending->id = std::move(id);
  pending->deadline = world_.now() + timeout;
  pending->on_done = std::move(on_done);
  on_commit_requested(pending->change);
  try_commit(pending);
}

void Callers::set_replica(const std::string& name, ReplicaHealth health, CommitHandler on_done, Duration timeout) {
  const auto& replica = replicas[name];
  commit(SetReplica{{name, replica.kind, replica.zone, "http://" + name, health, {}, 0}}, std::move(on_done), "",
         timeout);
}

/// Sends the change to one controller; retried after an unknown outcome or if there is no reply.
void Callers::try_commit(const std::shared_ptr<PendingCommit>& pending) {
  if (pending->over)
    return;
  if (world_.now() >= pending->deadline) {
    pending->over = true;
    CommitReply reply{};
    reply.id = pending->id;
    reply.outcome = CommitOutcome::unknown;
    return pending->on_done(reply);
  }
  auto answered = std::make_shared<bool>(false);
  send_commit(pending, answered);
  world_.at(world_.now() + kCommitResponseTimeout, [=, this] {
    if (*answered)
      return;
    *answered = true;
    try_commit(pending);
  });
}

void Callers::send_commit(const std::shared_ptr<PendingCommit>& pending, const std::shared_ptr<bool>& answered) {
  std::vector<std::string> choices;
  for (const auto& name : world_.names(Kind::controller))
    if (world_.alive(name) && world_.node(name).machine->view()->cluster)
      choices.push_back(name);
  if (choices.empty())
    return;
  auto controller = choices[world_.next_random() % choices.size()];
  auto on_message = [=, this](const Message& message) {
    const auto* reply = std::get_if<CommitReply>(&message);
    if (!reply || pending->over || *answered)
      return;
    *answered = true;
    handle_commit_reply(pending, *reply);
  };
  auto view = world_.node(controller).machine->view();
  Envelope envelope{};
  envelope.from = open_session(controller, on_message, [] {});
  envelope.epoch = view->epoch;
  envelope.cluster = view->cluster;
  envelope.body = Commit{pending->id, pending->change, view->epoch, 0};
  world_.post(controller, std::move(envelope));
}

void Callers::handle_commit_reply(const std::shared_ptr<PendingCommit>& pending, const CommitReply& reply) {
  if (reply.outcome == CommitOutcome::unknown)
    return world_.at(world_.now() + kCommitRetry, [=, this] { try_commit(pending); });
  pending->over = true;
  if (is_committed(reply)) {
    on_commit_acknowledged(pending->change);
    check_one_change_per_base(pending->change, pending->id);
  }
  pending->on_done(reply);
}

void Callers::check_one_change_per_base(const Transformation& change, const std::string& id) {
  const auto* configuration = std::get_if<ApplyConfiguration>(&change);
  if (!configuration)
    return;
  auto base = configuration->base.value();
  auto [winner, first] = acknowledged_.emplace(Revision{base + 1}, id);
  if (!first && winner->second != id)
    world_.fail("two changes on revision " + std::to_string(base) + " were both acknowledged");
}

/// Starts the time limits of an acknowledged change: drains are checked at the replica, configurations at every
/// connected gateway.
void Callers::on_commit_acknowledged(const Transformation& change) {
  if (const auto* listed = std::get_if<SetReplica>(&change);
      listed && listed->replica.health == ReplicaHealth::draining)
    replicas[listed->replica.name].draining_since = world_.now();
  if (const auto* evacuation = std::get_if<EvacuateZone>(&change))
    for (auto& [name, replica] : replicas)
      if (replica.zone == evacuation->zone)
        replica.evacuated_since = world_.now();
  const auto* configuration = std::get_if<ApplyConfiguration>(&change);
  if (!configuration)
    return;
  Revision acknowledged{configuration->base.value() + 1};
  world_.at(world_.now() + kConfigurationLimit, [this, acknowledged] {
    for (const auto& name : world_.names(Kind::gateway))
      if (world_.alive(name) && world_.ready(name) && world_.node(name).machine->view()->revision < acknowledged)
        world_.fail(name + " serves without revision " + std::to_string(acknowledged.value()) +
                    " 2 s after its acknowledgement");
  });
}

/// Once an operator asks for a drain or evacuation to be reverted, its limit no longer applies.
void Callers::on_commit_requested(const Transformation& change) {
  if (const auto* listed = std::get_if<SetReplica>(&change);
      listed && listed->replica.health != ReplicaHealth::draining)
    replicas[listed->replica.name].draining_since = {};
  if (const auto* restoration = std::get_if<RestoreZone>(&change))
    for (auto& [name, replica] : replicas)
      if (replica.zone == restoration->zone)
        replica.evacuated_since = {};
}

bool Callers::initialize_fleet() {
  // The handlers may outlive this call if the fleet does not become ready.
  auto missing = std::make_shared<int>(static_cast<int>(replicas.size()) + 1);
  auto count_down = [missing](const CommitReply& reply) {
    *missing -= is_committed(reply);
  };
  for (const auto& [name, replica] : replicas)
    commit(SetReplica{{name, replica.kind, replica.zone, "http://" + name, ReplicaHealth::ready, {}, 0}}, count_down,
           "", kStartTime);
  Cell cell{"news", budget_, turn_limit_, kLongRetentionMs, {{"chat", "model", {}}, {"app", "app", {}}}};
  commit(ApplyConfiguration{Revision{0}, {{cell}}}, count_down, "", kStartTime);
  return world_.until(kStartTime, [&] { return *missing == 0 && is_up(); });
}

/// All gateways are ready, and each partition has its stores and an owner.
bool Callers::is_up() {
  for (const auto& name : world_.names(Kind::gateway))
    if (!world_.ready(name))
      return false;
  auto metadata = world_.node("gateway1").machine->view();
  auto copies = std::min<size_t>(kDefaultHistoryReplicas, world_.names(Kind::store).size());
  for (const auto& partition : metadata->partitions)
    if (partition.stores.size() < copies || !partition.owner.value())
      return false;
  return metadata->sequences.empty();
}

}  // namespace mosskeel::sim
