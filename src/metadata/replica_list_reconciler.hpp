#pragma once
// What a list of replicas says beyond the log.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// Compares whole readings of a list with the log; remembers of earlier readings what a single one cannot tell.
class ReplicaListReconciler {
 public:
  /// The change that the log lacks, or nothing. A replica goes once two readings in a row lack it, since a list may
  /// shift between its pages. One that a restored zone left cold stays so until the list has had time to say it.
  std::optional<UpdateReplicas> reconcile(const Replicas& log, const std::vector<Replica>& listed, Millis now);
  /// For a reader that was not the one to read for a while.
  void reset() { seen_.clear(); }

 private:
  struct Seen {
    /// When it is expected to be warm, and since when the log has it cold without a time.
    Millis warm = 0, restored = 0;
    /// The epoch of the log's state when it was last told a change; still the same means that it did not take it.
    std::optional<Epoch> told;
    uint32_t missing = 0;
  };
  std::map<std::string, Seen> seen_;
};

}  // namespace mosskeel
