#pragma once
// Watches every node from outside and says which invariant is broken. It knows nothing of how the machines decide.
#include "consensus/controller_machine.hpp"

namespace mosskeel::model {

/// What a node has on its disk: only that survives its process.
struct Durable {
  uint64_t generation = 0;
  Epoch epoch{};
  Epoch open{};
  Ballot promised{};
  std::optional<AcceptedProposal> accepted;
};

class Observer {
 public:
  /// A node shows another value than before.
  void saw(Incarnation incarnation, const MetadataSnapshot& v);
  /// A message leaves a node; what it promises must outlive the process.
  void sent(const Envelope& e);
  /// A node has started with this on its disk.
  void restarted(Incarnation incarnation, const Durable& d);
  /// The operator's order was answered, with these disks.
  void answered(const Transformation& t, const CommitReply& r);
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
  void fail(std::string what);
  void majority_holds_acknowledged();
  void agreement(const MetadataSnapshot& v);
  void newcomers_hold_log(const Metadata& before, const Metadata& after);
  void majorities_meet(const Metadata& before, const Metadata& after);
  void contains_acknowledged(const Metadata& m);
  void one_for_each_base(const std::string& id, const Transformation& t);

  std::string broken_;
  std::map<std::pair<uint64_t, Epoch>, MetadataSnapshot> decided_;
  std::set<uint64_t> founded_;
  std::map<Revision, std::string> by_base_;
  std::vector<Acknowledged> acknowledged_;
  std::set<std::string> rejected_;
  std::map<Incarnation, Told> told_;
  std::map<Incarnation, Durable> disks_;
  MetadataSnapshot newest_ = std::make_shared<Metadata>();
};

}  // namespace mosskeel::model
