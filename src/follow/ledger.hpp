#pragma once
// The local log: entries in order, the value they make, and what a laggard needs.
#include <deque>

#include "kernel/machine.hpp"

namespace mosskeel {

class Ledger {
 public:
  const View& view() const { return view_; }
  Epoch epoch() const { return view_->epoch; }
  /// Adds one entry; applies it and all that wait behind it once they are consecutive.
  std::vector<Entry> add(const Entry& e);
  /// Takes a whole value if it is newer than ours. True if it was.
  bool jump(const Metadata& m);
  /// What someone at `known` lacks: entries, or a checkpoint where the entries are gone or many.
  std::pair<std::optional<Metadata>, Entries> since(Epoch known) const;
  /// Entries kept for `explain` and for laggards.
  const std::deque<Entry>& recent() const { return recent_; }
  bool gap() const { return !waiting_.empty(); }

 private:
  View view_ = std::make_shared<Metadata>();
  std::deque<Entry> recent_;
  std::map<Epoch, Entry> waiting_;
};

}  // namespace mosskeel
