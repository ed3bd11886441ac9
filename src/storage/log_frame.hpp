#pragma once
// How records lie in a segment, and the marks between them that say how far it was synced.
#include "base/codec.hpp"

namespace mosskeel {

/// What stands before a record: its size and digest.
inline std::string frame_header(const std::string& r) {
  std::string o;
  codec::put(o, static_cast<uint32_t>(r.size()));
  codec::put(o, digest(r, r.size()));
  return o;
}

inline std::string frame(const std::string& r) {
  return frame_header(r) + r;
}

/// The record at the reader's place, or nothing, leaving the reader where it was. No record is empty: zeros where a
/// write was lost have the digest of one.
inline std::optional<std::string> unframe(codec::Reader& r) {
  auto at = r;
  uint32_t n;
  uint64_t sum;
  if (!codec::get(at, n) || !codec::get(at, sum) || n == 0 || at.s.size() < n)
    return std::nullopt;
  std::string x(at.s.substr(0, n));
  if (digest(x, n) != sum)
    return std::nullopt;
  at.s.remove_prefix(n);
  r = at;
  return x;
}

/// Says that the first `synced` bytes of this segment of this daemon were on disk before it was written. A record by
/// its form, which begins with an index that no kind of record has: daemons that do not know it pass over it.
struct SyncMark {
  BOOST_HANA_DEFINE_STRUCT(SyncMark, (uint64_t, magic), (Incarnation, incarnation), (uint64_t, seq),
                           (uint64_t, synced));
  static constexpr uint64_t word = 0x6b72616d2d79ffff;
  static constexpr size_t bytes = 32, framed = bytes + 12;
};

/// The mark in a record, if it is one of this daemon's segment `seq`.
inline std::optional<SyncMark> mark_of(const std::string& record, Incarnation incarnation, uint64_t seq) {
  if (record.size() != SyncMark::bytes)
    return std::nullopt;
  auto m = codec::unpack<SyncMark>(record);
  if (!m || m->magic != SyncMark::word || m->incarnation != incarnation || m->seq != seq)
    return std::nullopt;
  return m;
}

}  // namespace mosskeel
