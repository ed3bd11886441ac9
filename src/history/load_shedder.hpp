#pragma once
// Load shedding by a store that is short of memory or disk throughput.
#include "history/history_table.hpp"

namespace mosskeel {

/// Measured load of a store's process.
struct StoreLoad {
  /// Too much memory is in use, or too much of the journal is held in memory because the disk is full.
  bool memory_short = false;
  /// Too many bytes are waiting to be written to disk.
  bool disk_behind = false;
};

/// Rejects requests that exceed the capacity of the store's memory or disk. A rejected write is retried by its owner,
/// which responds 503 if no quorum accepts it in time; requests for pages and reads are retried as well.
class LoadShedder {
 public:
  LoadShedder(Outbox& out, const HistoryTable& table) : out_(out), table_(table) {}

  void set_load(const StoreLoad& load) { load_ = load; }
  /// Rejects or drops the message if the load requires it. Returns false if the message may be handled.
  [[nodiscard]] bool shed_if_overloaded(const Envelope& envelope);
  /// Number of messages rejected or dropped since the process started.
  uint64_t shed_messages() const { return shed_messages_; }

 private:
  bool must_shed(const Message& message) const;
  bool grows_state(const AppendHistory& request) const;
  bool grows_state(const AdoptHistory& request) const;

  Outbox& out_;
  const HistoryTable& table_;
  StoreLoad load_;
  uint64_t shed_messages_ = 0;
};

}  // namespace mosskeel
