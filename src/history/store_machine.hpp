#pragma once
// A store: fenced append logs, one a line; it syncs before it answers.
#include "follow/follower.hpp"
#include "history/repair.hpp"

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
using StoreRecord = std::variant<Fence, LineWrite, StreamRecord, BuryRecord, Entry, Metadata>;

class StoreMachine : public Machine {
 public:
  StoreMachine(const Identity& id, const Recovered& r, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return led_.view(); }
  std::string checkpoint() const override;
  const SlotStores& slots() const { return slots_; }
  size_t kept_lines() const;
  size_t kept_tombstones() const;
  const Repair& repair() const { return rep_; }

 private:
  /// How far a stream has come.
  struct Place {
    LineName line;
    uint64_t tombstone = 0;
  };
  struct Streaming {
    Epoch sequence;
    std::map<DaemonId, Place> at;
    std::set<DaemonId> done;
    Millis last = 0;
    bool complete = false;
  };
  void handle(const Envelope& e, Millis now);
  bool placed(const Envelope& e, SlotId s) const;
  bool fence(SlotId s, Epoch term);
  void on(const Envelope& e, const LineRead& r);
  void on(const Envelope& e, const LineWrite& w);
  void on(const Envelope& e, const SlotStream& q);
  void on(const Envelope& e, const SlotStreamReply& r, Millis now);
  void on(const Envelope& e, const LineBury& b);
  void on(const Envelope& e, const ChainFind& f);
  LineWriteReply write(SlotStore& s, const LineWrite& w);
  void merge(SlotStore& s, const StreamRecord& r);
  static void bury(SlotStore& s, const LineName& n);
  /// Tells the owner of lines that have outlived their retention by this store's own clock.
  void expire(Millis now);
  bool aged(const Line& l) const;
  Millis uptime() const { return before_ + (now_ - born_); }
  void stream(Millis now);
  void turn(Millis now);
  Epoch streamed() const;
  void journal(const StoreRecord& r) { out_.write(codec::pack(r)); }
  Actions done();

  Outbox out_;
  Ledger led_;
  Follower fol_;
  SlotStores slots_;
  Repair rep_;
  std::map<SlotId, Streaming> streams_;
  size_t grown_ = 0;
  Millis born_, now_, before_ = 0, next_expire_ = 0;
  SlotId expiring_{};
};

}  // namespace mosskeel
