#include "history/history_table.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

template <class Request>
AppendHistoryReply rejected_append(const Request& request) {
  return {request.history, request.term, false, false, 0};
}

/// The store lacks records before `from`, or has them under another term: the owner must send the whole history.
AppendHistoryReply append_with_gap(const AppendHistory& request) {
  return {request.history, request.term, true, true, 0};
}

template <class Request>
AppendHistoryReply accepted_append(const Request& request, size_t length) {
  return {request.history, request.term, true, false, length};
}

}  // namespace

const StoredPartition* HistoryTable::find(PartitionId id) const {
  auto found = partitions_.find(id);
  return found == partitions_.end() ? nullptr : &found->second;
}

const History* HistoryTable::find(PartitionId partition, const HistoryName& name) const {
  auto* stored = find(partition);
  if (!stored)
    return nullptr;
  auto found = stored->histories.find(name);
  return found == stored->histories.end() ? nullptr : &found->second;
}

bool HistoryTable::is_up_to_date(PartitionId partition, const HistorySummary& summary) const {
  auto* stored = find(partition);
  if (stored && stored->has_tombstone(summary.history))
    return true;
  auto* history = find(partition, summary.history);
  return history && history->version() >= version_of(summary);
}

Epoch HistoryTable::fence(PartitionId id) const {
  auto* stored = find(id);
  return stored ? stored->fence : Epoch{};
}

size_t HistoryTable::history_count() const {
  size_t count = 0;
  for (auto& [id, partition] : partitions_)
    count += partition.histories.size();
  return count;
}

size_t HistoryTable::tombstone_count() const {
  size_t count = 0;
  for (auto& [id, partition] : partitions_)
    count += partition.tombstones.size();
  return count;
}

bool HistoryTable::raise_fence(PartitionId id, Epoch term) {
  auto& partition = partitions_[id];
  if (term < partition.fence)
    return false;
  if (term > partition.fence) {
    partition.fence = term;
    journal_.append(FenceRecord{id, term});
  }
  return true;
}

AppendHistoryReply HistoryTable::append(const AppendHistory& request) {
  bool raises_fence = fence(request.partition) < request.term;
  auto result = apply(request);
  journal_append(request, result.change, raises_fence);
  return result.reply;
}

std::optional<AppendHistoryReply> HistoryTable::adopt(const AdoptHistory& request) {
  auto& partition = partitions_[request.partition];
  if (partition.has_tombstone(request.history))
    return rejected_append(request);
  auto found = partition.histories.find(request.history);
  if (found == partition.histories.end())
    return std::nullopt;
  auto& history = found->second;
  bool is_adopted = history.term == request.term;
  if (!is_adopted && history.version() != HistoryVersion{request.replica_term, request.replica_length})
    return std::nullopt;
  if (!is_adopted) {
    HistoryTermRecord record{request.partition, request.history, request.term};
    replay(record);
    journal_.append(record);
  }
  return accepted_append(request, history.records.size());
}

HistoryTable::AppendResult HistoryTable::apply(const AppendHistory& request) {
  auto& partition = partitions_[request.partition];
  partition.fence = std::max(partition.fence, request.term);
  if (partition.has_tombstone(request.history))
    return {rejected_append(request)};
  return request.replace ? replace_records(partition, request) : append_records(partition, request);
}

HistoryTable::AppendResult HistoryTable::replace_records(StoredPartition& partition, const AppendHistory& request) {
  auto& history = partition.histories[request.history];
  if (history.term > request.term)
    return {rejected_append(request)};
  auto change = Change::none;
  if (history.records == request.records) {
    if (history.term < request.term)
      change = Change::term;
    history.term = request.term;
  } else if (history.term < request.term || request.records.size() >= history.records.size()) {
    change = Change::records;
    bool same_length = history.records.size() == request.records.size();
    history = {request.term, request.records, same_length ? history.written_at : clock_.uptime()};
  }
  return {accepted_append(request, history.records.size()), change};
}

/// Idempotent: of a repeated or overlapping write only the new records are appended.
HistoryTable::AppendResult HistoryTable::append_records(StoredPartition& partition, const AppendHistory& request) {
  auto found = partition.histories.find(request.history);
  if (found == partition.histories.end())
    return {append_with_gap(request)};
  auto& history = found->second;
  if (history.term != request.term || history.records.size() < request.from)
    return {append_with_gap(request)};
  size_t overlap = history.records.size() - request.from;
  auto change = overlap < request.records.size() ? Change::records : Change::none;
  for (size_t i = overlap; i < request.records.size(); ++i)
    history.records.push_back(request.records[i]);
  history.written_at = clock_.uptime();
  return {accepted_append(request, history.records.size()), change};
}

/// Journals the whole request only if it added records, so that records already stored are not written twice.
void HistoryTable::journal_append(const AppendHistory& request, Change change, bool raised_fence) {
  switch (change) {
    case Change::records:
      return journal_.append(request);
    case Change::term:
      return journal_.append(HistoryTermRecord{request.partition, request.history, request.term});
    case Change::none:
      if (raised_fence)
        journal_.append(FenceRecord{request.partition, request.term});
  }
}

void HistoryTable::write_tombstone(PartitionId partition, const HistoryName& name) {
  delete_history(partition, name);
  journal_.append(TombstoneRecord{partition, name});
}

void HistoryTable::delete_history(PartitionId partition, const HistoryName& name) {
  auto& stored = partitions_[partition];
  stored.histories.erase(name);
  stored.tombstones.add(tombstone_of(name));
}

void HistoryTable::merge(MergeRecord received) {
  auto newer = merge_newer(std::move(received));
  if (!newer.empty())
    journal_.append(newer);
}

MergeRecord HistoryTable::merge_newer(MergeRecord received) {
  auto& partition = partitions_[received.partition];
  MergeRecord newer{received.partition, {}, {}, {}};
  if (partition.fence < received.fence) {
    partition.fence = received.fence;
    newer.fence = received.fence;
  }
  for (auto tombstone : received.tombstones) {
    if (partition.tombstones.has(tombstone))
      continue;
    partition.tombstones.add(tombstone);
    newer.tombstones.push_back(tombstone);
  }
  if (!newer.tombstones.empty())
    std::erase_if(partition.histories, [&](auto& entry) { return partition.has_tombstone(entry.first); });
  for (auto& copy : received.histories) {
    if (partition.has_tombstone(copy.history))
      continue;
    auto& history = partition.histories[copy.history];
    if (history.version() >= version_of(copy))
      continue;
    history = {copy.history_term, copy.records, clock_.uptime()};
    newer.histories.push_back(std::move(copy));
  }
  return newer;
}

void HistoryTable::drop_histories(PartitionId id) {
  partitions_[id].histories.clear();
  journal_.append(DropPartitionRecord{id});
}

void HistoryTable::replay(const FenceRecord& record) {
  auto& partition = partitions_[record.partition];
  partition.fence = std::max(partition.fence, record.term);
}

void HistoryTable::replay(const HistoryTermRecord& record) {
  auto& partition = partitions_[record.partition];
  auto& history = partition.histories[record.history];
  partition.fence = std::max(partition.fence, record.term);
  history.term = std::max(history.term, record.term);
}

}  // namespace mosskeel
