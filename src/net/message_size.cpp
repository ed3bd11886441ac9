#include "net/message_size.hpp"

namespace mosskeel {
namespace {

size_t bytes_of(const Records& records) {
  size_t bytes = 0;
  for (const auto& record : records) {
    bytes += sizeof record + record.input.size() + record.output.size();
  }
  return bytes;
}

size_t bytes_of(const std::vector<HistoryCopy>& histories) {
  size_t bytes = 0;
  for (const auto& history : histories) {
    bytes += bytes_of(history.records);
  }
  return bytes;
}

}  // namespace

size_t history_bytes(const Message& message) {
  if (const auto* reply = std::get_if<ReadHistoryReply>(&message)) {
    return bytes_of(reply->records);
  }
  if (const auto* reply = std::get_if<ReadRecordsReply>(&message)) {
    return bytes_of(reply->records);
  }
  if (const auto* append = std::get_if<AppendHistory>(&message)) {
    return bytes_of(append->records);
  }
  if (const auto* reply = std::get_if<StreamPartitionReply>(&message)) {
    return bytes_of(reply->histories);
  }
  if (const auto* reply = std::get_if<FetchHistoriesReply>(&message)) {
    return bytes_of(reply->histories);
  }
  if (const auto* reply = std::get_if<FindChainReply>(&message)) {
    return reply->text.size();
  }
  return 0;
}

}  // namespace mosskeel
