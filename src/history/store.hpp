#pragma once
// What a store keeps of its slots.
#include "history/tombstones.hpp"

namespace mosskeel {

/// `touched` is when it was last written, by the store's own count of the time that it was up.
struct Line {
  BOOST_HANA_DEFINE_STRUCT(Line, (Epoch, term), (Records, records), (Millis, touched));
};
using Lines = std::map<LineName, Line>;
struct SlotStore {
  BOOST_HANA_DEFINE_STRUCT(SlotStore, (Epoch, fence), (Lines, lines), (Tombstones, tombstones));
};
using SlotStores = std::map<SlotId, SlotStore>;
struct StreamRecord {
  BOOST_HANA_DEFINE_STRUCT(StreamRecord, (SlotId, slot), (Epoch, fence), (std::vector<StreamedLine>, lines),
                           (std::vector<uint64_t>, tombstones));
};

}  // namespace mosskeel
