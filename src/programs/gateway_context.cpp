#include "programs/gateway_context.hpp"

#include "history/partition_lookup.hpp"

namespace mosskeel {

const Daemon* GatewayContext::owner_of(PartitionId partition) const {
  return find_owner(metadata(), partition);
}

bool GatewayContext::owns(PartitionId partition) const {
  const auto* owner = owner_of(partition);
  return owner && is_self(*owner);
}

}  // namespace mosskeel
