#include "programs/gateway_context.hpp"

namespace mosskeel {

const Daemon* GatewayContext::owner_of(PartitionId partition) const {
  const auto& known = metadata();
  if (partition.value() >= known.partitions.size())
    return nullptr;
  return known.find(known.partitions[partition.value()].owner);
}

bool GatewayContext::owns(PartitionId partition) const {
  const auto* owner = owner_of(partition);
  return owner && is_self(*owner);
}

}  // namespace mosskeel
