#pragma once
// The format of a log segment: records, each preceded by a header with its size and checksum, and sync marks between
// them that record how far the segment was synced.
#include "base/codec.hpp"

namespace mosskeel {

/// Size (32 bits) and checksum (64 bits).
constexpr size_t kFrameHeaderBytes = 12;

/// The header that precedes a record: its size and checksum.
inline std::string frame_header(const std::string& record) {
  std::string header;
  codec::put(header, static_cast<uint32_t>(record.size()));
  codec::put(header, digest(record, record.size()));
  return header;
}

/// A record as it is stored in a segment.
inline std::string frame(const std::string& record) {
  return frame_header(record) + record;
}

/// Reads the record at the reader's position; if it is damaged, returns nothing and leaves the reader unchanged. An
/// empty record counts as damaged: zeros left by a lost write would match the checksum of an empty record.
inline std::optional<std::string> unframe(codec::Reader& reader) {
  auto rest = reader;
  uint32_t size = 0;
  uint64_t checksum = 0;
  if (!codec::get(rest, size) || !codec::get(rest, checksum) || size == 0 || rest.remaining.size() < size)
    return std::nullopt;
  std::string record(rest.remaining.substr(0, size));
  if (digest(record, size) != checksum)
    return std::nullopt;
  rest.remaining.remove_prefix(size);
  reader = rest;
  return record;
}

/// Records that the first `synced` bytes of segment `sequence` of this daemon were durable before the mark was written.
/// It is framed like a record, but begins with an index that no kind of record has: versions without sync marks skip
/// it.
struct SyncMark {
  MOSSKEEL_FIELDS(SyncMark, (uint64_t, magic), (Incarnation, incarnation), (uint64_t, sequence), (uint64_t, synced));
  static constexpr uint64_t kMagic = 0x6b72616d2d79ffff;
  /// Size of the encoding, without and with the frame header.
  static constexpr size_t kBytes = 32, kFramedBytes = kBytes + kFrameHeaderBytes;
};

/// Decodes a record as a sync mark; nothing if it is not one of this daemon for segment `sequence`.
inline std::optional<SyncMark> decode_sync_mark(const std::string& record, Incarnation incarnation, uint64_t sequence) {
  if (record.size() != SyncMark::kBytes)
    return std::nullopt;
  auto mark = codec::decode<SyncMark>(record);
  bool matches =
      mark && mark->magic == SyncMark::kMagic && mark->incarnation == incarnation && mark->sequence == sequence;
  return matches ? mark : std::nullopt;
}

}  // namespace mosskeel
