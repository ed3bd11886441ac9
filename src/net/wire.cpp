#include "net/wire.hpp"

#include "messages/constants.hpp"

namespace mosskeel {

std::string encode(const Envelope& envelope) {
  auto bytes = codec::encode(envelope);
  codec::put(bytes, digest(bytes));
  return bytes;
}

std::optional<Envelope> decode(std::string_view bytes) {
  uint64_t checksum = 0;
  if (bytes.size() < sizeof checksum) {
    return std::nullopt;
  }
  codec::Reader trailer{bytes.substr(bytes.size() - sizeof checksum)};
  bytes.remove_suffix(sizeof checksum);
  if (!codec::get(trailer, checksum) || checksum != digest(bytes)) {
    return std::nullopt;
  }
  auto envelope = codec::decode<Envelope>(bytes);
  if (!envelope || envelope->protocol != kProtocolRevision) {
    return std::nullopt;
  }
  return envelope;
}

const char* kind_name(const Message& message) {
  static const char* const names[] = {"none",
                                      "discover",
                                      "discover-reply",
                                      "prepare",
                                      "promise",
                                      "accept",
                                      "accepted",
                                      "decided",
                                      "catchup",
                                      "catchup-reply",
                                      "quorum-read",
                                      "quorum-read-reply",
                                      "commit",
                                      "commit-reply",
                                      "heartbeat",
                                      "heartbeat-reply",
                                      "lease-request",
                                      "lease-grant",
                                      "read-history",
                                      "read-history-reply",
                                      "append-history",
                                      "append-history-reply",
                                      "stream-partition",
                                      "stream-partition-reply",
                                      "program-request",
                                      "program-request-acknowledgement",
                                      "program-response-chunk",
                                      "program-response",
                                      "transfer-turn-outcome",
                                      "transfer-turn-outcome-reply",
                                      "replica-call",
                                      "replica-call-chunk",
                                      "replica-call-response",
                                      "cancel-replica-call",
                                      "refound-request",
                                      "query-turn-runner",
                                      "query-turn-runner-reply",
                                      "history-expired",
                                      "write-tombstone",
                                      "partition-checksum",
                                      "partition-checksum-reply",
                                      "list-histories",
                                      "list-histories-reply",
                                      "fetch-histories",
                                      "fetch-histories-reply",
                                      "reserve-turn",
                                      "reserve-turn-reply",
                                      "commit-turn",
                                      "commit-turn-reply",
                                      "find-chain",
                                      "find-chain-reply",
                                      "read-records",
                                      "read-records-reply",
                                      "large-history-reply",
                                      "stream-large-history",
                                      "fetch-large-history",
                                      "adopt-history"};
  static_assert(std::size(names) == std::variant_size_v<Message>);
  return names[message.index()];
}

}  // namespace mosskeel
