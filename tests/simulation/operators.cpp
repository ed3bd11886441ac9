// Simulated operators and the platform: changes of the metadata, and the limits within which they must be in force.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/callers.hpp"

namespace mosskeel::sim {
namespace {

/// When an operator asks again after an unknown outcome.
constexpr Duration kCommitRetry = 50ms;
/// When an operator asks another controller after silence; a little longer than a controller works on one commit.
constexpr Duration kCommitSilence = 2300ms;
/// A configuration is in force at each gateway in touch 2 s after its acknowledgement; the rest is the message's way.
constexpr Duration kConfigurationLimit = 2100ms;
/// How long the fleet may take to come up.
constexpr Duration kStartTime = 60000ms;
/// The retention of the first cell, longer than any day.
constexpr int64_t kLongRetentionMs = 3600000;

bool is_committed(const CommitReply& reply) {
  return reply.outcome == CommitOutcome::committed;
}

}  // namespace

void Callers::commit(Transformation change, CommitHandler then, std::string id, Duration patience) {
  if (id.empty())
    id = "sim-" + std::to_string(world_.next_random());
  auto pending = std::make_shared<PendingCommit>();
  pending->change = std::move(change);
  pending->id = std::move(id);
  pending->deadline = world_.now() + patience;
  pending->then = std::move(then);
  note_asked(pending->change);
  try_commit(pending);
}

void Callers::set_replica(const std::string& name, ReplicaHealth health, CommitHandler then, Duration patience) {
  const auto& replica = replicas[name];
  commit(SetReplica{{name, replica.kind, replica.zone, "http://" + name, health, {}, 0}}, std::move(then), "",
         patience);
}

/// Asks one controller; the next try follows an unknown outcome or silence.
void Callers::try_commit(const std::shared_ptr<PendingCommit>& pending) {
  if (pending->over)
    return;
  if (world_.now() >= pending->deadline) {
    pending->over = true;
    CommitReply reply{};
    reply.id = pending->id;
    reply.outcome = CommitOutcome::unknown;
    return pending->then(reply);
  }
  auto answered = std::make_shared<bool>(false);
  send_commit(pending, answered);
  world_.at(world_.now() + kCommitSilence, [=, this] {
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
  auto hear = [=, this](const Message& message) {
    const auto* reply = std::get_if<CommitReply>(&message);
    if (!reply || pending->over || *answered)
      return;
    *answered = true;
    hear_commit(pending, *reply);
  };
  auto view = world_.node(controller).machine->view();
  Envelope envelope{};
  envelope.from = open_session(controller, hear, [] {});
  envelope.epoch = view->epoch;
  envelope.cluster = view->cluster;
  envelope.body = Commit{pending->id, pending->change, view->epoch, 0};
  world_.post(controller, std::move(envelope));
}

void Callers::hear_commit(const std::shared_ptr<PendingCommit>& pending, const CommitReply& reply) {
  if (reply.outcome == CommitOutcome::unknown)
    return world_.at(world_.now() + kCommitRetry, [=, this] { try_commit(pending); });
  pending->over = true;
  if (is_committed(reply)) {
    note_acknowledged(pending->change);
    check_one_change_per_base(pending->change, pending->id);
  }
  pending->then(reply);
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

/// From an acknowledgement on its limits count: for drains at a replica's door, for configurations at every gateway in
/// touch.
void Callers::note_acknowledged(const Transformation& change) {
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

/// From the asking on, a drain that is taken back is not in force any more.
void Callers::note_asked(const Transformation& change) {
  if (const auto* listed = std::get_if<SetReplica>(&change);
      listed && listed->replica.health != ReplicaHealth::draining)
    replicas[listed->replica.name].draining_since = {};
  if (const auto* restoration = std::get_if<RestoreZone>(&change))
    for (auto& [name, replica] : replicas)
      if (replica.zone == restoration->zone)
        replica.evacuated_since = {};
}

bool Callers::introduce() {
  // The handlers may outlive this call where the fleet does not come up.
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
