#pragma once
// Constants of the stores' histories alone, with unit and reason.
#include "kernel/limits.hpp"

namespace mosskeel::limits {

constexpr size_t stream_pages = 8;                // count; pages asked for and not yet answered; 2 MB with their copies
constexpr size_t stream_page_bytes = 128 << 10;   // bytes; a page ends after the history that exceeds this
constexpr Millis stream_patience = 1000;          // ms; an unanswered page is asked for again, of another store first
constexpr size_t store_journal_least = 4u << 20;  // bytes; a shorter journal calls for no checkpoint, however small
constexpr Millis moved_keep = 10000;              // ms; a partition whose place went elsewhere is dropped after this
constexpr Millis moved_pace = 500;                // ms; between two looks for such partitions
constexpr double store_memory_share = 0.6;        // share; of the machine's memory in use: no new text is taken
constexpr size_t store_inbox_bytes = 4u << 20;    // bytes; larger messages than 1 KB are dropped beyond this
constexpr size_t store_waiting_bytes = 4u << 20;  // bytes; while more waits for the disk, no history is sent
constexpr Millis store_load_pace = 100;           // ms; between two looks at a store's own load
constexpr size_t record_overhead = 128;           // bytes; a record beside its text, encoded or in memory

}  // namespace mosskeel::limits
