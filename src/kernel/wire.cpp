#include "kernel/wire.hpp"

#include "kernel/limits.hpp"

namespace mosskeel {

std::string encode(const Envelope& e) {
  auto s = codec::pack(e);
  codec::put(s, digest(s));
  return s;
}

std::optional<Envelope> decode(std::string_view s) {
  uint64_t sum;
  if (s.size() < sizeof sum) return std::nullopt;
  codec::Reader r{s.substr(s.size() - sizeof sum)};
  s.remove_suffix(sizeof sum);
  if (!codec::get(r, sum) || sum != digest(s)) return std::nullopt;
  auto e = codec::unpack<Envelope>(s);
  if (!e || e->protocol != limits::protocol) return std::nullopt;
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
                                  "line-read",
                                  "line-read-reply",
                                  "line-write",
                                  "line-write-reply",
                                  "slot-stream",
                                  "slot-stream-reply",
                                  "request",
                                  "request-seen",
                                  "request-piece",
                                  "request-end",
                                  "late-settle",
                                  "late-settled",
                                  "replica-ask",
                                  "replica-piece",
                                  "replica-end",
                                  "replica-stop",
                                  "rebuild",
                                  "runner-ask",
                                  "runner-word",
                                  "line-aged",
                                  "line-bury",
                                  "slot-check",
                                  "slot-check-reply",
                                  "slot-list",
                                  "slot-list-reply",
                                  "lines-fetch",
                                  "lines-fetched",
                                  "turn-ask",
                                  "turn-grant",
                                  "turn-settle",
                                  "turn-settled",
                                  "chain-find",
                                  "chain-found"};
  static_assert(std::size(n) == std::variant_size_v<Message>);
  return n[m.index()];
}

}  // namespace mosskeel
