#include "history/record_bytes.hpp"

namespace mosskeel {

Records page_of(const Records& records, uint64_t from, uint64_t end) {
  Records page;
  size_t bytes = 0;
  for (uint64_t i = from; i < end; ++i) {
    bytes += bytes_of(records[i]);
    if (bytes > kRecordsPageBytes && !page.empty())
      break;
    page.push_back(records[i]);
  }
  return page;
}

/// A replica that has grown under the same term can serve the request: it still starts with the requested version's
/// records.
ReadRecordsReply read_records(const ReadRecords& request, const Records* records, Epoch term) {
  ReadRecordsReply reply{request.history, request.term, request.length, request.from, false, {}};
  reply.available = records && term == request.term && records->size() >= request.length;
  if (reply.available)
    reply.records = page_of(*records, request.from, request.length);
  return reply;
}

}  // namespace mosskeel
