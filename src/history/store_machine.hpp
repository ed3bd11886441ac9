#pragma once
// A store: fenced append logs, one a line; it syncs before it answers.
#include "follow/follower.hpp"
#include "history/repair.hpp"
#include "history/slot_streams.hpp"

namespace mosskeel {

struct StoreCheckpoint {
  BOOST_HANA_DEFINE_STRUCT(StoreCheckpoint, (Metadata, metadata), (SlotStores, slots), (Millis, uptime));
};
struct Fence {
  BOOST_HANA_DEFINE_STRUCT(Fence, (SlotId, slot), (Epoch, term));
};
struct BuryRecord {
  BOOST_HANA_DEFINE_STRUCT(BuryRecord, (SlotId, slot), (LineName, line));
};
/// The line's records, as they are here, hold under a newer term.
struct AdoptRecord {
  BOOST_HANA_DEFINE_STRUCT(AdoptRecord, (SlotId, slot), (LineName, line), (Epoch, term));
};
/// The slot's histories were dropped, since its places are elsewhere; its fence and ends stay.
struct DropRecord {
  BOOST_HANA_DEFINE_STRUCT(DropRecord, (SlotId, slot));
};
using StoreRecord = std::variant<Fence, LineWrite, StreamRecord, BuryRecord, Entry, Metadata, AdoptRecord, DropRecord>;

/// What a store's process says of itself, for the store to refuse work before its limits.
struct StoreLoad {
  bool memory_short = false, disk_behind = false;
};

class StoreMachine : public Machine {
 public:
  /// Takes what was recovered, and frees it piece by piece as the state grows.
  StoreMachine(const Identity& id, Recovered r, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return led_.view(); }
  std::string checkpoint() const override;
  const SlotStores& slots() const { return slots_; }
  size_t kept_lines() const;
  size_t kept_tombstones() const;
  const Repair& repair() const { return rep_; }
  const SlotStreams& streams() const { return streams_; }
  void set_load(const StoreLoad& l) { load_ = l; }
  /// Writes and reads refused because of the load.
  uint64_t refused() const { return refused_; }

 private:
  /// What a write changed here, and so what the journal must say.
  enum class Change { nothing, term, records };
  struct Written {
    LineWriteReply reply;
    Change change = Change::nothing;
  };
  void recover(std::string checkpoint);
  void replay(const StoreRecord& r);
  void handle(const Envelope& e, Millis now);
  /// Refuses or leaves unanswered what the load forbids.
  bool refuse(const Envelope& e);
  bool admits_more(const LineWrite& w) const;
  bool placed(const Envelope& e, SlotId s) const;
  bool fence(SlotId s, Epoch term);
  void on(const Envelope& e, const LineRead& r);
  void on(const Envelope& e, const LineWrite& w);
  void on(const Envelope& e, const SlotStream& q);
  void on(const Envelope& e, const SlotStreamReply& r, Millis now);
  void on(const Envelope& e, const LineBury& b);
  void on(const Envelope& e, const ChainFind& f);
  Written write(SlotStore& s, const LineWrite& w);
  Written adopt(SlotStore& s, const LineWrite& w);
  void journal_write(const LineWrite& w, Change change, bool fenced);
  /// Takes what is newer than what is here; the part that was.
  StreamRecord merge(SlotStore& s, const StreamRecord& r);
  static void bury(SlotStore& s, const LineName& n);
  /// Tells the owner of lines that have outlived their retention by this store's own clock.
  void expire(Millis now);
  bool aged(const Line& l) const;
  /// Drops the histories of slots whose places went elsewhere some time ago.
  void drop_moved(Millis now);
  bool moved(SlotId s, DaemonId me) const;
  Millis uptime() const { return before_ + (now_ - born_); }
  void turn(Millis now);
  size_t journal_limit() const;
  void journal(const StoreRecord& r) { out_.write(codec::pack(r)); }
  Actions done();

  Outbox out_;
  Ledger led_;
  Follower fol_;
  SlotStores slots_;
  Repair rep_;
  SlotStreams streams_;
  StoreLoad load_;
  uint64_t refused_ = 0;
  /// Bytes of the journal since the last checkpoint, and of that checkpoint.
  size_t grown_ = 0;
  mutable size_t checkpoint_size_ = 0;
  Millis born_, now_, before_ = 0, next_expire_ = 0, next_drop_ = 0;
  /// Since when slots with histories here have had no place here.
  std::map<SlotId, Millis> moved_since_;
  SlotId expiring_{};
};

}  // namespace mosskeel
