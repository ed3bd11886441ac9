#pragma once
// How large histories are, and how much of one fits into a message.
#include "history/constants.hpp"
#include "messages/history_messages.hpp"

namespace mosskeel {

/// Bytes of a record in a message, on disk or in memory, to within its small fields.
inline size_t bytes_of(const Record& record) {
  return record.input.size() + record.output.size() + kRecordOverheadBytes;
}

inline size_t bytes_of(const Records& records) {
  size_t bytes = 0;
  for (auto& record : records)
    bytes += bytes_of(record);
  return bytes;
}

/// Whether a history is too large to be sent whole: its records are then read page by page (`HistoryDownload`).
/// A single record is always sent in one message.
inline bool is_large(const Records& records) {
  return records.size() > 1 && bytes_of(records) > kMaxWholeHistoryBytes;
}

/// The records from `from` on and before `end`, until the page is full; at least one, however large.
Records page_of(const Records& records, uint64_t from, uint64_t end);

/// Answers a request for a page.
/// @param records of the replica here; null where there is none.
/// @param term of that replica.
ReadRecordsReply read_records(const ReadRecords& request, const Records* records, Epoch term);

}  // namespace mosskeel
