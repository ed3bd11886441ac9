#include "metadata/transformation.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel {
namespace {

using transformations::to_text;

std::string text_of(const std::monostate&) {
  return "no change";
}

std::string text_of(const FoundCluster& change) {
  return "found cluster " + hex(change.cluster) + " with " + std::to_string(change.members.size()) + " core members";
}

std::string text_of(const RefoundCluster& change) {
  return "found the core anew as generation " + std::to_string(change.generation + 1) + " without " +
         std::to_string(change.lost.size()) + " lost members";
}

std::string text_of(const AddCoreMember& change) {
  return "add " + to_text(change.node) + " to the core";
}

std::string text_of(const ReplaceCoreMember& change) {
  return "replace core member " + to_text(change.removed) + " by " + to_text(change.added);
}

std::string text_of(const RemoveCoreMember& change) {
  return "remove " + to_text(change.node) + " from the core";
}

std::string text_of(const BeginQuorumChange&) {
  return "begin to change the quorum members";
}

std::string text_of(const FinishQuorumChange& change) {
  return "finish the change of the quorum members of epoch " + std::to_string(change.since.value());
}

std::string text_of(const Register& change) {
  return std::string("register ") + name(change.self.role) + " at " + change.self.address + " in zone " +
         change.self.zone;
}

std::string text_of(const MarkDown& change) {
  return "mark " + to_text(change.node) + " down";
}

std::string text_of(const MarkUp& change) {
  return "mark " + to_text(change.node) + " up";
}

std::string text_of(const ForgetStore& change) {
  return "forget " + to_text(change.node) + ", a store without partitions";
}

std::string text_of(const PrepareJoin& change) {
  return "prepare the join of " + to_text(change.node);
}

std::string text_of(const PrepareDrain& change) {
  return "prepare the drain of " + to_text(change.node);
}

std::string text_of(const PrepareRepair& change) {
  return "prepare the repair of the partitions of " + to_text(change.node);
}

std::string text_of(const AdvanceSequence& change) {
  return std::string(name(change.step)) + " the sequence of " + to_text(change.node);
}

std::string text_of(const CancelSequence& change) {
  return "cancel the sequence of " + to_text(change.node) + ": " + change.reason;
}

std::string text_of(const MovePartition& change) {
  return "move " + to_text(change.partition) + " to " + to_text(change.owner);
}

std::string text_of(const MoveAllPartitions& change) {
  return "move the routes of " + to_text(change.from) + " to " + to_text(change.to);
}

std::string text_of(const ApplyConfiguration& change) {
  return "apply a configuration of " + std::to_string(change.configuration.cells.size()) + " cells on revision " +
         std::to_string(change.base.value());
}

std::string text_of(const SetReplica& change) {
  return "replica " + change.replica.name + " is " + name(change.replica.health);
}

std::string text_of(const RemoveReplica& change) {
  return "remove replica " + change.name;
}

std::string text_of(const UpdateReplicas& change) {
  return "update " + std::to_string(change.updated.size()) + " replicas, remove " +
         std::to_string(change.removed.size());
}

std::string text_of(const EvacuateZone& change) {
  return "evacuate zone " + change.zone;
}

std::string text_of(const RestoreZone& change) {
  return "restore zone " + change.zone;
}

}  // namespace

std::string describe(const Transformation& transformation) {
  return std::visit([](auto& change) { return text_of(change); }, transformation);
}

}  // namespace mosskeel
