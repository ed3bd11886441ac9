#pragma once
// A store's background repair: compare partitions with the other stores, fetch the histories that are lacking here.
#include "history/constants.hpp"
#include "history/stored_partition.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

class PartitionRepair {
 public:
  PartitionRepair(Outbox& out, MetadataLog& metadata_log, const StoredPartitions& partitions)
      : out_(out), metadata_log_(metadata_log), slots_(partitions) {}
  /// Handles what concerns repair; false leaves the message to the caller.
  bool on(const Envelope& e, Millis now);
  void tick(Millis now);
  /// How many partitions, each with one other store in place, are not known to be whole here.
  uint32_t incomplete_comparisons() const;
  /// Histories fetched since the start.
  uint64_t fetched() const { return fetched_; }
  /// Takes histories into the store and the journal.
  std::function<void(const MergeRecord&)> take;
  std::function<Millis()> uptime;

 private:
  using Pair = std::pair<PartitionId, DaemonId>;
  /// One comparison under way: the check, then pages of names, then what is wanted of a page.
  struct Job {
    Pair pair;
    Epoch changed;
    HistoryName after{};
    std::vector<HistoryName> want{};
    bool listing = false, more = true, answered = false;
    Millis asked = 0;
  };
  std::vector<Pair> pairs() const;
  uint64_t sum(PartitionId s) const;
  bool settled(const History& l) const { return uptime() - l.touched > kRepairMinimumAge; }
  void begin(Millis now);
  void proceed(Millis now);
  void finish() { whole_[job_->pair] = job_->changed, job_.reset(); }
  /// The job's own peer answered on the job's own partition.
  bool mine(const Envelope& e, PartitionId s) const;
  void on(const Envelope& e, const ListHistories& q);
  void on(const Envelope& e, const FetchHistories& q);
  void on(const ListHistoriesReply& r);
  void on(const FetchHistoriesReply& r);

  Outbox& out_;
  MetadataLog& metadata_log_;
  const StoredPartitions& slots_;
  std::map<Pair, Epoch> whole_;
  std::optional<Job> job_;
  Pair last_{};
  Millis next_ = 0, ticked_ = 0;
  uint64_t fetched_ = 0;
};

}  // namespace mosskeel
