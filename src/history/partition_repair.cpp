#include "history/partition_repair.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"
#include "history/record_bytes.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

/// All comparisons to make, sorted: each partition of this store that is not moving, with each other store of it that
/// is up.
std::vector<PartitionRepair::Comparison> PartitionRepair::comparisons() const {
  std::vector<Comparison> all;
  auto& metadata = *metadata_log_.view();
  auto* self = metadata.find(out_.id().self.incarnation);
  if (!self)
    return all;
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (!partition.pending_stores.empty() || !contains(partition.stores, self->id))
      continue;
    for (auto id : partition.stores) {
      auto* peer = metadata.find(id);
      if (peer && id != self->id && peer->state == DaemonState::up)
        all.push_back({PartitionId{i}, id});
    }
  }
  std::sort(all.begin(), all.end());
  return all;
}

uint32_t PartitionRepair::incomplete_comparisons() const {
  auto& partitions = metadata_log_.view()->partitions;
  uint32_t incomplete = 0;
  for (auto& comparison : comparisons()) {
    auto finished = finished_.find(comparison);
    bool is_current =
        finished != finished_.end() && finished->second == partitions[comparison.partition.value()].stores_epoch;
    incomplete += !is_current;
  }
  return incomplete;
}

/// A sum, so that it does not depend on the order. Recent writes are excluded, since they may not have reached the
/// other store yet.
uint64_t PartitionRepair::checksum(PartitionId id) const {
  uint64_t sum = 0;
  auto* stored = table_.find(id);
  if (!stored)
    return sum;
  for (auto& [name, history] : stored->histories)
    if (is_comparable(history))
      sum += digest(codec::encode(std::make_pair(history.term, history.records.size())), tombstone_of(name));
  return sum;
}

bool PartitionRepair::is_comparable(const History& history) const {
  return clock_.uptime() - history.written_at > kRepairMinimumAge;
}

void PartitionRepair::tick(TimePoint now) {
  // A process that was suspended for this long may have missed writes.
  if (now - last_tick_at_ > kIsolationTimeout)
    finished_.clear();
  last_tick_at_ = now;
  if (now < next_step_at_)
    return;
  next_step_at_ = now + kRepairInterval;
  if (!job_)
    return start_next(now);
  if (job_->answered)
    return proceed(now);
  if (job_->download)
    return advance_download(now);
  if (now - job_->requested_at >= kRepairRequestTimeout)
    abandon();
}

void PartitionRepair::start_next(TimePoint now) {
  auto all = comparisons();
  std::erase_if(finished_, [&](auto& entry) { return !std::binary_search(all.begin(), all.end(), entry.first); });
  if (all.empty())
    return;
  auto next = std::upper_bound(all.begin(), all.end(), last_started_);
  last_started_ = next == all.end() ? all.front() : *next;
  auto& metadata = *metadata_log_.view();
  auto* peer = metadata.find(last_started_.peer);
  auto partition = last_started_.partition;
  job_ = Job{last_started_, metadata.partitions[partition.value()].stores_epoch};
  job_->requested_at = now;
  out_.send(peer->self.address, PartitionChecksum{partition, job_->stores_epoch, checksum(partition)},
            peer->self.incarnation);
}

/// Sends the next request after a reply: fetches wanted histories of the last page, or requests the next page.
void PartitionRepair::proceed(TimePoint now) {
  auto& job = *job_;
  auto partition = job.comparison.partition;
  auto* peer = metadata_log_.view()->find(job.comparison.peer);
  if (!peer || (job.wanted.empty() && !job.more_to_list))
    return finish();
  job.answered = false;
  job.requested_at = now;
  if (job.wanted.empty())
    return out_.send(peer->self.address, ListHistories{partition, job.last_listed}, peer->self.incarnation);
  auto count = static_cast<ptrdiff_t>(std::min(job.wanted.size(), kRepairHistoriesPerMessage));
  out_.send(peer->self.address, FetchHistories{partition, {job.wanted.begin(), job.wanted.begin() + count}},
            peer->self.incarnation);
}

void PartitionRepair::finish() {
  finished_[job_->comparison] = job_->stores_epoch;
  job_.reset();
}

void PartitionRepair::abandon() {
  finished_.erase(job_->comparison);
  job_.reset();
}

bool PartitionRepair::is_expected(const Envelope& envelope, PartitionId partition) const {
  auto* sender = metadata_log_.view()->find(envelope.from_incarnation);
  return job_ && sender && job_->comparison == Comparison{partition, sender->id} && !job_->answered;
}

bool PartitionRepair::handle(const Envelope& envelope, TimePoint now) {
  auto handled = [&](const auto& message) {
    handle(message, envelope);
    return true;
  };
  return std::visit(overload{[&](const PartitionChecksum& request) { return handled(request); },
                             [&](const PartitionChecksumReply& reply) { return handled(reply); },
                             [&](const ListHistories& request) { return handled(request); },
                             [&](const ListHistoriesReply& reply) { return handled(reply); },
                             [&](const FetchHistories& request) { return handled(request); },
                             [&](const FetchHistoriesReply& reply) { return handled(reply); },
                             [&](const FetchLargeHistory& reply) {
                               handle(reply, envelope, now);
                               return true;
                             },
                             [](const auto& /* not part of a comparison */) {
                               return false;
                             }},
                    envelope.body);
}

void PartitionRepair::handle(const PartitionChecksum& request, const Envelope& envelope) {
  auto* partition = find_partition(*metadata_log_.view(), request.partition);
  bool equal =
      partition && partition->stores_epoch == request.stores_epoch && checksum(request.partition) == request.checksum;
  out_.send(envelope.from, PartitionChecksumReply{request.partition, request.stores_epoch, equal},
            envelope.from_incarnation);
}

void PartitionRepair::handle(const PartitionChecksumReply& reply, const Envelope& envelope) {
  if (!is_expected(envelope, reply.partition) || job_->listing || reply.stores_epoch != job_->stores_epoch)
    return;
  if (reply.equal)
    return finish();
  finished_.erase(job_->comparison);
  job_->listing = true;
  job_->answered = true;
}

void PartitionRepair::handle(const ListHistories& request, const Envelope& envelope) {
  ListHistoriesReply page{request.partition, request.after, {}, false};
  if (auto* stored = table_.find(request.partition)) {
    auto& histories = stored->histories;
    auto next = request.after.program.empty() ? histories.begin() : histories.upper_bound(request.after);
    for (; next != histories.end(); ++next) {
      if (page.summaries.size() == kRepairSummariesPerMessage) {
        page.more = true;
        break;
      }
      auto& [name, history] = *next;
      page.summaries.push_back({name, history.term, history.records.size()});
    }
  }
  out_.send(envelope.from, page, envelope.from_incarnation);
}

void PartitionRepair::handle(const ListHistoriesReply& reply, const Envelope& envelope) {
  if (!is_expected(envelope, reply.partition) || !job_->listing || job_->last_listed != reply.after)
    return;
  for (auto& summary : reply.summaries) {
    job_->last_listed = summary.history;
    if (lacks(reply.partition, summary))
      job_->wanted.push_back(summary.history);
  }
  job_->more_to_list = reply.more;
  job_->answered = true;
}

/// A history with a higher version replaces the local one; a history with a tombstone stays deleted.
bool PartitionRepair::lacks(PartitionId id, const HistorySummary& summary) const {
  return version_of(summary) > HistoryVersion{} && !table_.is_up_to_date(id, summary);
}

void PartitionRepair::handle(const FetchHistories& request, const Envelope& envelope) {
  FetchHistoriesReply reply{request.partition, {}};
  size_t bytes = 0;
  for (auto& name : request.names) {
    if (bytes > kRepairMessageBytes)
      break;
    auto* history = table_.find(request.partition, name);
    if (!history)
      continue;
    if (is_large(history->records)) {
      if (reply.histories.empty()) {
        HistorySummary summary{name, history->term, history->records.size()};
        return out_.send(envelope.from, FetchLargeHistory{request.partition, std::move(summary)},
                         envelope.from_incarnation);
      }
      break;
    }
    bytes += bytes_of(history->records);
    reply.histories.push_back({name, history->term, history->records});
  }
  out_.send(envelope.from, reply, envelope.from_incarnation);
}

/// An empty reply means that the peer no longer has any of the requested histories.
void PartitionRepair::handle(const FetchHistoriesReply& reply, const Envelope& envelope) {
  if (!is_expected(envelope, reply.partition) || job_->wanted.empty())
    return;
  auto requested = std::min(job_->wanted.size(), kRepairHistoriesPerMessage);
  auto last_answered = job_->wanted[requested - 1];
  if (!reply.histories.empty()) {
    fetched_ += reply.histories.size();
    table_.merge({reply.partition, {}, reply.histories, {}});
    last_answered = reply.histories.back().history;
  }
  on_answered(last_answered);
}

void PartitionRepair::on_answered(const HistoryName& last_answered) {
  std::erase_if(job_->wanted, [&](auto& name) { return name <= last_answered; });
  job_->answered = true;
}

void PartitionRepair::handle(const FetchLargeHistory& reply, const Envelope& envelope, TimePoint now) {
  if (!is_expected(envelope, reply.partition) || job_->wanted.empty() || job_->download)
    return;
  if (!lacks(reply.partition, reply.next))
    return on_answered(reply.next.history);
  job_->download.emplace(out_, reply.next.history, reply.partition, version_of(reply.next), envelope.from,
                         envelope.from_incarnation, now);
}

void PartitionRepair::handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now) {
  if (job_ && job_->download && job_->download->handle(out_, page, envelope, now))
    advance_download(now);
}

void PartitionRepair::advance_download(TimePoint now) {
  auto& download = *job_->download;
  download.tick(out_, now);
  if (download.state() == HistoryDownload::State::failed)
    return abandon();
  if (download.state() == HistoryDownload::State::reading)
    return;
  HistoryCopy copy{download.history(), download.version().term, download.take_records()};
  job_->download.reset();
  ++fetched_;
  auto name = copy.history;
  std::vector<HistoryCopy> copies;
  copies.push_back(std::move(copy));
  table_.merge({job_->comparison.partition, {}, std::move(copies), {}});
  on_answered(name);
}

}  // namespace mosskeel
