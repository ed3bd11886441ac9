#include "history/load_shedder.hpp"

#include <algorithm>

namespace mosskeel {

bool LoadShedder::sheds(const Envelope& envelope) {
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
  bool any = memory_short || disk_behind;
  return std::visit(
      overload{[&](const AppendHistory& request) { return memory_short && grows_state(request); },
               [&](const StreamPartitionReply&) { return memory_short; },
               [&](const FetchHistoriesReply&) { return memory_short; },
               [&](const AdoptHistory& request) { return memory_short && grows_state(request); },
               [&](const ReadRecordsReply&) { return memory_short; },
               [&](const StreamLargeHistory&) { return memory_short; },
               [&](const FetchLargeHistory&) { return memory_short; }, [&](const ReadRecords&) { return disk_behind; },
               [&](const ReadHistory&) { return disk_behind; }, [&](const FindChain&) { return disk_behind; },
               [&](const StreamPartition&) { return any; }, [&](const FetchHistories&) { return any; },
               [](const auto& /* small, or frees memory */) {
                 return false;
               }},
      message);
}

/// Whether the history's records have to be read from the owner.
bool LoadShedder::grows_state(const AdoptHistory& request) const {
  auto* history = table_.find(request.partition, request.history);
  return !history || history->records.size() < request.replica_length;
}

/// Whether a write begins a turn here or brings a history that is not here yet. What ends a turn or a history does
/// not: its turn was admitted before, and an end sets memory free.
bool LoadShedder::grows_state(const AppendHistory& request) const {
  auto* history = table_.find(request.partition, request.history);
  if (request.replace)
    return request.records.size() > (history ? history->records.size() : 0);
  return std::any_of(request.records.begin(), request.records.end(),
                     [](auto& record) { return record.kind == RecordKind::reservation; });
}

}  // namespace mosskeel
