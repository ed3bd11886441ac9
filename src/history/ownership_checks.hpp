#pragma once
// Checks that no newer owner has taken over, made before an owner of programs answers from memory.
#include <map>
#include <optional>
#include <set>

#include "history/store_quorum.hpp"
#include "messages/message.hpp"
#include "replication/metadata_log.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Asks the stores of a partition, on behalf of one request, whether they still accept writes under this gateway's
/// term.
///
/// A newer owner raises the fence at a read quorum of stores before it learns the content of any history, and every
/// write quorum intersects that read quorum. So if a write quorum grants a check that started after the request
/// arrived, no newer owner had opened a history of the partition at that arrival, and what this owner has in memory is
/// current.
///
/// A check is a `ReadHistory` of a name that no history has, so that stores of every software version answer it, and
/// without records. Owned by `HistoryWriter` and used on its thread; nothing is on disk.
class OwnershipChecks {
 public:
  /// `refuted`: too many stores reject the term, or too few have answered in time.
  enum class State { checking, confirmed, refuted };

  OwnershipChecks(Outbox& out, const MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}

  /// Starts the check for a request on a history, or returns its state. A final result is returned once, then dropped.
  State check(const HistoryName& history, PartitionId partition, const std::string& request, TimePoint now);
  /// Processes a store's reply. Returns the history of the check that the reply ended, if any.
  std::optional<HistoryName> handle(const ReadHistoryReply& reply, const Envelope& envelope);
  /// Whether a reply belongs to a check rather than to the opening of a history.
  static bool is_reply_to_check(const ReadHistoryReply& reply);
  /// Retries the stores that have not answered, and drops checks whose result was never collected. Returns the
  /// histories whose checks have ended, for example by a time-out.
  std::vector<HistoryName> tick(TimePoint now);

 private:
  struct Key {
    HistoryName history;
    std::string request;
    auto operator<=>(const Key&) const = default;
  };
  struct Check {
    /// Sent in place of the program's name; unique among the checks of a process.
    uint64_t number = 0;
    PartitionId partition{};
    Epoch term{};
    TimePoint started_at{};
    TimePoint last_sent_at{};
    std::set<DaemonId> granted;
    std::set<DaemonId> rejected;
  };
  State state(const Check& check, TimePoint now) const;
  void send(Check& check, TimePoint now);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  std::map<Key, Check> checks_;
  uint64_t last_number_ = 0;
};

}  // namespace mosskeel
