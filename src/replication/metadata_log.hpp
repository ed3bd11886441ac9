#pragma once
// The local log: entries in order, the value they make, and what a laggard needs.
#include <deque>

#include "replication/constants.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

class MetadataLog {
 public:
  const View& view() const { return view_; }
  Epoch epoch() const { return view_->epoch; }
  /// Adds one entry; applies it and all that wait behind it once they are consecutive.
  std::vector<Entry> add(const Entry& e);
  /// Takes a whole value if it is newer than ours and of our generation or one that follows. True if it was.
  bool install_snapshot(const Metadata& m);
  /// What someone at `known` lacks: entries, or a checkpoint where the entries are gone or many.
  std::pair<std::optional<Metadata>, Entries> updates_since(Epoch known) const;
  /// The same where it is small, else nothing: who lacks more asks for it.
  std::pair<std::optional<Metadata>, Entries> small_updates_since(Epoch known) const;
  /// Entries kept for `explain` and for laggards.
  const std::deque<Entry>& recent_entries() const { return recent_; }
  bool has_gap() const { return !waiting_.empty(); }

 private:
  View view_ = std::make_shared<Metadata>();
  std::deque<Entry> recent_;
  /// The encoded sizes of `recent_`, and their sum.
  std::deque<size_t> weights_;
  size_t weight_ = 0;
  std::map<Epoch, Entry> waiting_;
};

/// When a laggard may ask: at once after each epoch that it learned, else once a while.
class CatchupRateLimiter {
 public:
  bool may_request(Epoch known, Millis now) {
    if (now < next_ && asked_ == known)
      return false;
    next_ = now + kCatchUpInterval;
    asked_ = known;
    return true;
  }

 private:
  Millis next_ = 0;
  Epoch asked_{};
};

}  // namespace mosskeel
