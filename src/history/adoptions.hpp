#pragma once
// How a store takes over large histories that their owner writes back.
#include "history/history_download.hpp"
#include "history/history_table.hpp"

namespace mosskeel {

/// The large histories that this store reads from their owners, since it has another version of them. A history is
/// written here only once it is whole. Owned by `StoreMachine`, on its thread; nothing is on disk before that.
class Adoptions {
 public:
  /// An adoption whose records have all come.
  struct Completed {
    AppendHistory write;
    /// The envelope of the owner's request, without its body.
    Envelope request;
  };

  explicit Adoptions(Outbox& out) : out_(out) {}

  /// Begins to read the history from the owner that asks for it. Does nothing where it is being read already or too
  /// many others are: the owner asks again.
  void begin(const AdoptHistory& request, const Envelope& envelope, TimePoint now);
  /// Takes records of a large history.
  std::optional<Completed> handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  /// Asks again for what has not come, and forgets what an owner sends no more.
  void tick(TimePoint now);

 private:
  struct Adoption {
    Epoch term;
    Envelope request;
    HistoryDownload pages;
  };

  Outbox& out_;
  std::map<HistoryName, Adoption> adoptions_;
};

}  // namespace mosskeel
