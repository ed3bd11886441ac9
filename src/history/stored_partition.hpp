#pragma once
// What a store keeps of its partitions.
#include "history/tombstones.hpp"

namespace mosskeel {

/// `touched` is when it was last written, by the store's own count of the time that it was up.
struct History {
  BOOST_HANA_DEFINE_STRUCT(History, (Epoch, term), (Records, records), (Millis, touched));
};
using Histories = std::map<HistoryName, History>;
struct StoredPartition {
  BOOST_HANA_DEFINE_STRUCT(StoredPartition, (Epoch, fence), (Histories, histories), (Tombstones, tombstones));
};
using StoredPartitions = std::map<PartitionId, StoredPartition>;
struct MergeRecord {
  BOOST_HANA_DEFINE_STRUCT(MergeRecord, (PartitionId, partition), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                           (std::vector<uint64_t>, tombstones));
};

}  // namespace mosskeel
