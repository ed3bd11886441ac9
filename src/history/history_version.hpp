#pragma once
// Versions of history replicas, by which they are compared.
#include "messages/history_messages.hpp"

namespace mosskeel {

/// The ownership term under which a replica of a history was last written, and its number of records.
/// Of two replicas, the one with the higher version contains every committed record of the other: a new term starts
/// from everything that earlier terms committed, and within a term there is a single writer.
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
