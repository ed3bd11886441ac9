#pragma once
// A store's copying of partitions that it is about to hold, in pages, with a bound on those under way.
#include "history/constants.hpp"
#include "history/stored_partition.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

class PartitionStreams {
 public:
  PartitionStreams(Outbox& out, MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}
  /// Begins and ends streams with the partitions' pending places, and asks for the next pages.
  void tick(Millis now);
  /// Takes a page that was asked for; true where it completed its partition.
  bool on(const Envelope& e, const StreamPartitionReply& r, Millis now);
  /// The latest sequence for which all partitions here are whole; nothing while one is not.
  Epoch complete() const;
  /// Pages asked for and neither answered nor given up.
  size_t under_way(Millis now) const;
  /// Takes a page into the store and the journal.
  std::function<void(const MergeRecord&)> take;

 private:
  /// One of the stores that hold a partition, and how far its copy has been read.
  struct Source {
    HistoryName history;
    uint64_t tombstone = 0;
    Millis asked = 0;
    bool waiting = false, done = false;
    bool busy(Millis now) const { return waiting && now - asked < kTransferPageTimeout; }
  };
  struct Streaming {
    Epoch sequence;
    std::map<DaemonId, Source> sources;
    bool complete = false;
  };
  void follow_places(const Daemon& me);
  void ask_pages(Millis now);
  void ask_slot(PartitionId id, Streaming& x, Millis now);
  void ask(PartitionId id, const Streaming& x, Source& source, const Daemon& d, Millis now);
  bool asks(DaemonId source, Millis now) const;
  std::vector<const Daemon*> by_promise(const Partition& partition, Streaming& x) const;

  Outbox& out_;
  MetadataLog& metadata_log_;
  std::map<PartitionId, Streaming> streams_;
  PartitionId last_{};
};

}  // namespace mosskeel
