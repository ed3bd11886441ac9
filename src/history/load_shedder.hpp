#pragma once
// How a store protects its own memory and disk.
#include "history/history_table.hpp"

namespace mosskeel {

/// What a store's process measures of itself.
struct StoreLoad {
  /// Too much memory is in use, or too much of the journal is held in it while the disk is full.
  bool memory_short = false;
  /// Too many bytes wait for the disk.
  bool disk_behind = false;
};

/// Rejects requests that the store's memory or disk has no room for. A rejected write is retried by its owner, who
/// answers 503 if no quorum takes it in time; pages and reads are requested again.
class LoadShedder {
 public:
  LoadShedder(Outbox& out, const HistoryTable& table) : out_(out), table_(table) {}

  void set_load(const StoreLoad& load) { load_ = load; }
  /// Rejects the message, or drops it, where the load forbids it; false where it may be handled.
  [[nodiscard]] bool sheds(const Envelope& envelope);
  /// Messages rejected or dropped since the start.
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
