#pragma once
// Downloads of large histories that their owner writes back to this store.
#include "history/history_download.hpp"
#include "history/history_table.hpp"

namespace mosskeel {

/// Tracks the large histories that this store downloads from their owners because its replica has another version.
/// A history is written to the table only once all its records have arrived; until then it is in memory only. Owned by
/// `StoreMachine` and used on its thread.
class Adoptions {
 public:
  /// An adoption whose records have all arrived.
  struct Completed {
    AppendHistory write;
    /// The envelope of the owner's request, without its body.
    Envelope request;
  };

  explicit Adoptions(Outbox& out) : out_(out) {}

  /// Starts downloading the history from the requesting owner. Does nothing if the same download is running or
  /// kMaxAdoptions others are: the owner retries its request.
  void begin(const AdoptHistory& request, const Envelope& envelope, TimePoint now);
  /// Processes a page of records. Returns the write to apply if the page completed its history.
  std::optional<Completed> handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  /// Retries unanswered requests, and drops downloads whose owner no longer answers.
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
