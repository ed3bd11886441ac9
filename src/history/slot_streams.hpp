#pragma once
// A store's copying of slots that it is about to hold, in pages, with a bound on those under way.
#include "follow/ledger.hpp"
#include "history/history_limits.hpp"
#include "history/store.hpp"

namespace mosskeel {

class SlotStreams {
 public:
  SlotStreams(Outbox& out, Ledger& led) : out_(out), led_(led) {}
  /// Begins and ends streams with the slots' pending places, and asks for the next pages.
  void tick(Millis now);
  /// Takes a page that was asked for; true where it completed its slot.
  bool on(const Envelope& e, const SlotStreamReply& r, Millis now);
  /// The latest sequence for which all slots here are whole; nothing while one is not.
  Epoch complete() const;
  /// Pages asked for and neither answered nor given up.
  size_t under_way(Millis now) const;
  /// Takes a page into the store and the journal.
  std::function<void(const StreamRecord&)> take;

 private:
  /// One of the stores that hold a slot, and how far its copy has been read.
  struct Source {
    LineName line;
    uint64_t tombstone = 0;
    Millis asked = 0;
    bool waiting = false, done = false;
    bool busy(Millis now) const { return waiting && now - asked < limits::stream_patience; }
  };
  struct Streaming {
    Epoch sequence;
    std::map<DaemonId, Source> sources;
    bool complete = false;
  };
  void follow_places(const Daemon& me);
  void ask_pages(Millis now);
  void ask_slot(SlotId id, Streaming& x, Millis now);
  void ask(SlotId id, const Streaming& x, Source& source, const Daemon& d, Millis now);
  bool asks(DaemonId source, Millis now) const;
  std::vector<const Daemon*> by_promise(const Slot& slot, Streaming& x) const;

  Outbox& out_;
  Ledger& led_;
  std::map<SlotId, Streaming> streams_;
  SlotId last_{};
};

}  // namespace mosskeel
