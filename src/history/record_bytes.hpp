#pragma once
// Sizes of records and histories, and paging of large histories.
#include "history/constants.hpp"
#include "messages/history_messages.hpp"

namespace mosskeel {

/// Approximate bytes of a record in a message, on disk or in memory; fixed-size fields are estimated.
inline size_t bytes_of(const Record& record) {
  return record.input.size() + record.output.size() + kRecordOverheadBytes;
}

inline size_t bytes_of(const Records& records) {
  size_t bytes = 0;
  for (auto& record : records)
    bytes += bytes_of(record);
  return bytes;
}

/// Whether a history is too large for one message, so that its records are read page by page (`HistoryDownload`).
/// A single record is always sent in one message.
inline bool is_large(const Records& records) {
  return records.size() > 1 && bytes_of(records) > kMaxWholeHistoryBytes;
}

/// The records in [from, end) that fit into a page; at least one, however large.
Records page_of(const Records& records, uint64_t from, uint64_t end);

/// Makes the reply to a request for a page.
/// @param records of the local replica; null if there is none.
/// @param term of that replica.
ReadRecordsReply read_records(const ReadRecords& request, const Records* records, Epoch term);

}  // namespace mosskeel
