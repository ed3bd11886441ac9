#pragma once
// A store's background repair: compare slots with the other stores, fetch the lines that are lacking here.
#include "follow/ledger.hpp"
#include "history/store.hpp"

namespace mosskeel {

class Repair {
 public:
  Repair(Outbox& out, Ledger& led, const SlotStores& slots) : out_(out), led_(led), slots_(slots) {}
  /// Handles what concerns repair; false leaves the message to the caller.
  bool on(const Envelope& e, Millis now);
  void tick(Millis now);
  /// How many slots, each with one other store in place, are not known to be whole here.
  uint32_t lacking() const;
  /// Lines fetched since the start.
  uint64_t fetched() const { return fetched_; }
  /// Takes lines into the store and the journal.
  std::function<void(const StreamRecord&)> take;
  std::function<Millis()> uptime;

 private:
  using Pair = std::pair<SlotId, DaemonId>;
  /// One comparison under way: the check, then pages of names, then what is wanted of a page.
  struct Job {
    Pair pair;
    Epoch changed;
    LineName after{};
    std::vector<LineName> want{};
    bool listing = false, more = true, answered = false;
    Millis asked = 0;
  };
  std::vector<Pair> pairs() const;
  uint64_t sum(SlotId s) const;
  bool settled(const Line& l) const { return uptime() - l.touched > limits::repair_age; }
  void begin(Millis now);
  void proceed(Millis now);
  void finish() { whole_[job_->pair] = job_->changed, job_.reset(); }
  /// The job's own peer answered on the job's own slot.
  bool mine(const Envelope& e, SlotId s) const;
  void on(const Envelope& e, const SlotList& q);
  void on(const Envelope& e, const LinesFetch& q);
  void on(const SlotListReply& r);
  void on(const LinesFetched& r);

  Outbox& out_;
  Ledger& led_;
  const SlotStores& slots_;
  std::map<Pair, Epoch> whole_;
  std::optional<Job> job_;
  Pair last_{};
  Millis next_ = 0, ticked_ = 0;
  uint64_t fetched_ = 0;
};

}  // namespace mosskeel
