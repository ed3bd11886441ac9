#pragma once
// How an owner of programs makes sure that no newer owner has taken over before it answers from memory.
#include <map>
#include <optional>
#include <set>

#include "history/store_quorum.hpp"
#include "messages/message.hpp"
#include "replication/metadata_log.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Asks the stores of a partition, on behalf of one request, whether they still take writes under this gateway's term.
///
/// A newer owner raises the fence at a read quorum of stores before it knows anything of a history, and each write
/// quorum shares a store with that. So once a write quorum grants a check that began after the request came, no newer
/// owner had opened a history of the partition when the request came, and none can contradict what this one remembers.
///
/// A check is a `ReadHistory` of a name that no history has, so that stores of every version answer it, with no
/// records. Owned by `HistoryWriter`, on its thread; nothing is on disk.
class OwnershipChecks {
 public:
  /// `refuted`: too many stores refuse the term, or too few have answered in time.
  enum class State { checking, confirmed, refuted };

  OwnershipChecks(Outbox& out, const MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}

  /// Begins the check for a request on a history, or tells how far it is; a result is told once and then forgotten.
  State check(const HistoryName& history, PartitionId partition, const std::string& request, TimePoint now);
  /// Takes a store's reply. The history of the check that it ended, nothing where none ended.
  std::optional<HistoryName> handle(const ReadHistoryReply& reply, const Envelope& envelope);
  /// Whether a reply belongs to a check, and not to the reading of a history.
  static bool is_reply_to_check(const ReadHistoryReply& reply);
  /// Asks again the stores that have not answered, and forgets checks that nobody asked for lately. The histories
  /// whose checks have ended for want of answers.
  std::vector<HistoryName> tick(TimePoint now);

 private:
  struct Key {
    HistoryName history;
    std::string request;
    auto operator<=>(const Key&) const = default;
  };
  struct Check {
    /// In the place of the program's name in the messages; no two checks of a process share it.
    uint64_t number = 0;
    PartitionId partition{};
    Epoch term{};
    TimePoint begun_at{};
    TimePoint last_sent_at{};
    std::set<DaemonId> granted;
    std::set<DaemonId> refused;
  };
  State state(const Check& check, TimePoint now) const;
  void send(Check& check, TimePoint now);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  std::map<Key, Check> checks_;
  uint64_t last_number_ = 0;
};

}  // namespace mosskeel
