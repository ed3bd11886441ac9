#pragma once
// Watches every node from outside and says which invariant is broken. It knows nothing of how the machines decide.
#include "consensus/controller_machine.hpp"

namespace mosskeel::model {

/// What a node has on its disk: only that survives its process.
struct Durable {
  uint64_t generation = 0;
  Epoch epoch{};
  /// The epoch of the open proposal, with what the acceptor promised and accepted for it.
  Epoch open{};
  Ballot promised{};
  std::optional<AcceptedProposal> accepted;
};

/// The invariants of the core, checked after each action on what nodes show, send and have on their disks:
///
/// - one cluster is founded, and each of its epochs has one value;
/// - no process goes back behind what an earlier one of the same incarnation has told others;
/// - of the changes on one revision one at most is acknowledged, and a refused change is not decided;
/// - an acknowledged change is in every later value, and no majority of the members lacks it on its disks;
/// - majorities of successive member sets meet, and a newcomer holds the log before it counts as a member.
class Observer {
 public:
  /// A node shows another value than before.
  void saw(Incarnation incarnation, const MetadataSnapshot& shown);
  /// A message leaves a node; what it promises must outlive the process.
  void sent(const Envelope& envelope);
  /// A node has started with this on its disk.
  void restarted(Incarnation incarnation, const Durable& found);
  /// The operator's order was answered.
  void answered(const Transformation& change, const CommitReply& reply);
  /// Disks changed: whatever was acknowledged must still be found by any later majority.
  void disks(std::map<Incarnation, Durable> disks);
  /// The first broken invariant, empty while all hold.
  const std::string& broken() const { return broken_; }
  /// The newest value of the newest generation.
  const MetadataSnapshot& newest() const { return newest_; }
  size_t acknowledged() const { return acknowledged_.size(); }
  size_t rejected() const { return rejected_.size(); }

 private:
  struct Acknowledged {
    std::string commit;
    Epoch epoch;
    Transformation change;
  };
  /// What an incarnation has told others.
  struct Told {
    uint64_t generation = 0;
    Epoch epoch{};
    Epoch promised_at{}, accepted_at{};
    Ballot promised{}, accepted{};
  };
  struct EpochOfCluster {
    uint64_t cluster = 0;
    Epoch epoch{};
    auto operator<=>(const EpochOfCluster&) const = default;
  };
  void fail(std::string what);
  void note_acknowledged(const Transformation& change, const CommitReply& reply);
  void note_rejected(const Transformation& change, const CommitReply& reply);
  void check_agreement(const MetadataSnapshot& shown);
  void check_newcomers_hold_log(const Metadata& before, const Metadata& after);
  void check_majorities_meet(const Metadata& before, const Metadata& after);
  void check_contains_acknowledged(const Metadata& metadata);
  void check_majority_holds_acknowledged();
  void check_one_for_each_base(const std::string& id, const Transformation& change);
  size_t count_lacking(const Acknowledged& change) const;

  std::string broken_;
  std::map<EpochOfCluster, MetadataSnapshot> decided_;
  /// Clusters that were founded anew from nothing.
  std::set<uint64_t> founded_;
  /// The acknowledged change on each revision.
  std::map<Revision, std::string> by_base_;
  std::vector<Acknowledged> acknowledged_;
  std::set<std::string> rejected_;
  std::map<Incarnation, Told> told_;
  std::map<Incarnation, Durable> disks_;
  MetadataSnapshot newest_ = std::make_shared<Metadata>();
};

}  // namespace mosskeel::model
