#include "history/load_shedder.hpp"

#include <algorithm>

namespace mosskeel {

bool LoadShedder::shed_if_overloaded(const Envelope& envelope) {
  if (!must_shed(envelope.body))
    return false;
  ++shed_messages_;
  if (auto* request = std::get_if<AppendHistory>(&envelope.body))
    out_.send(envelope.from, AppendHistoryReply{request->history, request->term, false, false, 0},
              envelope.from_incarnation);
  return true;
}

bool LoadShedder::must_shed(const Message& message) const {
  bool memory_short = load_.memory_short;
  bool disk_behind = load_.disk_behind;
  bool overloaded = memory_short || disk_behind;
  return std::visit(
      overload{[&](const AppendHistory& request) { return memory_short && grows_state(request); },
               [&](const StreamPartitionReply&) { return memory_short; },
               [&](const FetchHistoriesReply&) { return memory_short; },
               [&](const AdoptHistory& request) { return memory_short && grows_state(request); },
               [&](const ReadRecordsReply&) { return memory_short; },
               [&](const StreamLargeHistory&) { return memory_short; },
               [&](const FetchLargeHistory&) { return memory_short; }, [&](const ReadRecords&) { return disk_behind; },
               [&](const ReadHistory&) { return disk_behind; }, [&](const FindChain&) { return disk_behind; },
               [&](const StreamPartition&) { return overloaded; }, [&](const FetchHistories&) { return overloaded; },
               [](const auto& /* small, or frees memory */) {
                 return false;
               }},
      message);
}

/// Whether the store would have to download records from the owner.
bool LoadShedder::grows_state(const AdoptHistory& request) const {
  auto* history = table_.find(request.partition, request.history);
  return !history || history->records.size() < request.replica_length;
}

/// Whether a write reserves a new turn or adds records of a history that this store lacks. Outcomes and ends of
/// histories are accepted: an outcome's turn was admitted earlier, and an end frees memory.
bool LoadShedder::grows_state(const AppendHistory& request) const {
  auto* history = table_.find(request.partition, request.history);
  if (request.replace)
    return request.records.size() > (history ? history->records.size() : 0);
  return std::any_of(request.records.begin(), request.records.end(),
                     [](auto& record) { return record.kind == RecordKind::reservation; });
}

}  // namespace mosskeel
