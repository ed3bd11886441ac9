#include "history/history_download.hpp"

#include <iterator>

#include "history/constants.hpp"

namespace mosskeel {

HistoryDownload::HistoryDownload(Outbox& out, HistoryName history, PartitionId partition, HistoryVersion version,
                                 const Address& source, Incarnation source_incarnation, TimePoint now)
    : history_(std::move(history)),
      partition_(partition),
      version_(version),
      source_(source),
      source_incarnation_(source_incarnation),
      last_progress_at_(now) {
  request_page(out, now);
}

void HistoryDownload::request_page(Outbox& out, TimePoint now) {
  requested_at_ = now;
  out.send(source_, ReadRecords{history_, partition_, version_.term, version_.length, records_.size()},
           source_incarnation_);
}

bool HistoryDownload::handle(Outbox& out, const ReadRecordsReply& reply, const Envelope& envelope, TimePoint now) {
  bool is_expected = state_ == State::reading && envelope.from_incarnation == source_incarnation_ &&
                     reply.history == history_ && HistoryVersion{reply.term, reply.length} == version_ &&
                     reply.from == records_.size();
  if (!is_expected)
    return false;
  bool has_records = reply.available && !reply.records.empty();
  if (!has_records || reply.records.size() > version_.length - records_.size()) {
    state_ = State::failed;
    return true;
  }
  records_.insert(records_.end(), reply.records.begin(), reply.records.end());
  last_progress_at_ = now;
  if (records_.size() == version_.length)
    state_ = State::complete;
  else
    request_page(out, now);
  return true;
}

void HistoryDownload::tick(Outbox& out, TimePoint now) {
  if (state_ != State::reading)
    return;
  if (now - last_progress_at_ > kRecordsSilenceTimeout)
    state_ = State::failed;
  else if (now - requested_at_ >= kStreamPageTimeout)
    request_page(out, now);
}

}  // namespace mosskeel
