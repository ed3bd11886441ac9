#pragma once
// A recorder: fenced append logs, one a line; it syncs before it answers.
#include "follow/follower.hpp"

namespace mosskeel {

struct Line {
  BOOST_HANA_DEFINE_STRUCT(Line, (Epoch, term), (Records, records));
};
using Lines = std::map<LineName, Line>;
struct SlotStore {
  BOOST_HANA_DEFINE_STRUCT(SlotStore, (Epoch, fence), (Lines, lines));
};
using SlotStores = std::map<SlotId, SlotStore>;
struct RecorderCheckpoint {
  BOOST_HANA_DEFINE_STRUCT(RecorderCheckpoint, (Metadata, metadata), (SlotStores, slots));
};
struct StreamRecord {
  BOOST_HANA_DEFINE_STRUCT(StreamRecord, (SlotId, slot), (Epoch, fence), (std::vector<StreamedLine>, lines));
};
struct Fence {
  BOOST_HANA_DEFINE_STRUCT(Fence, (SlotId, slot), (Epoch, term));
};
struct DropRecord {
  BOOST_HANA_DEFINE_STRUCT(DropRecord, (SlotId, slot), (LineName, line));
};
using RecorderRecord = std::variant<Fence, LineWrite, StreamRecord, DropRecord, Entry, Metadata>;

class RecorderMachine : public Machine {
 public:
  RecorderMachine(const Identity& id, const Recovered& r, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return led_.view(); }
  std::string checkpoint() const;
  const SlotStores& slots() const { return slots_; }
  size_t kept_lines() const;

 private:
  struct Streaming {
    Epoch sequence;
    std::map<DaemonId, LineName> at;
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
  static LineWriteReply write(SlotStore& s, const LineWrite& w);
  static void merge(SlotStore& s, const StreamRecord& r);
  void stream(Millis now);
  void turn(Millis now);
  Epoch streamed() const;
  void journal(const RecorderRecord& r) { out_.write(codec::pack(r)); }
  Actions done();

  Outbox out_;
  Ledger led_;
  Follower fol_;
  SlotStores slots_;
  std::map<SlotId, Streaming> streams_;
  size_t grown_ = 0;
};

}  // namespace mosskeel
