#include "net/wire.hpp"
#include "messages/constants.hpp"

namespace mosskeel {

std::string encode(const Envelope& e) {
  auto s = codec::pack(e);
  codec::put(s, digest(s));
  return s;
}

std::optional<Envelope> decode(std::string_view s) {
  uint64_t sum;
  if (s.size() < sizeof sum)
    return std::nullopt;
  codec::Reader r{s.substr(s.size() - sizeof sum)};
  s.remove_suffix(sizeof sum);
  if (!codec::get(r, sum) || sum != digest(s))
    return std::nullopt;
  auto e = codec::unpack<Envelope>(s);
  if (!e || e->protocol != kProtocolRevision)
    return std::nullopt;
  return e;
}

const char* kind_name(const Message& m) {
  static const char* const n[] = {"none",
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
                                  "lease-ask",
                                  "lease-grant",
                                  "read-history",
                                  "read-history-reply",
                                  "append-history",
                                  "append-history-reply",
                                  "stream-partition",
                                  "stream-partition-reply",
                                  "request",
                                  "request-seen",
                                  "request-piece",
                                  "request-end",
                                  "transfer-turn-outcome",
                                  "transfer-turn-outcome-reply",
                                  "replica-ask",
                                  "replica-piece",
                                  "replica-end",
                                  "replica-stop",
                                  "rebuild",
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
                                  "turn-ask",
                                  "turn-grant",
                                  "turn-settle",
                                  "turn-settled",
                                  "find-chain",
                                  "find-chain-reply"};
  static_assert(std::size(n) == std::variant_size_v<Message>);
  return n[m.index()];
}

}  // namespace mosskeel
