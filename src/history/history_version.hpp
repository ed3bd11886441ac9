#pragma once
// How two replicas of one history are compared.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// The ownership term under which a replica of a history was last written, and how many records it has.
/// Of two replicas the one of the higher version holds every record that the other one's owners ever committed: a
/// later term begins with all that earlier terms committed, and within a term only one owner writes.
struct HistoryVersion {
  Epoch term{};
  uint64_t length = 0;
  auto operator<=>(const HistoryVersion&) const = default;
};

inline HistoryVersion version_of(const HistoryCopy& copy) {
  return {copy.history_term, copy.records.size()};
}

inline HistoryVersion version_of(const HistorySummary& summary) {
  return {summary.term, summary.length};
}

inline HistoryVersion version_of(const ReadHistoryReply& reply) {
  return {reply.history_term, reply.records.size()};
}

}  // namespace mosskeel
