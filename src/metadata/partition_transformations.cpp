// Transformations that move partitions between gateways in a single step.
#include "metadata/placement.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel::transformations {

void set_owner(const Metadata& metadata, Partition& partition, DaemonId owner) {
  partition.owner = owner;
  partition.term = metadata.epoch;
}

void transfer_ownership(Metadata& metadata, DaemonId from, DaemonId to) {
  for (auto& partition : metadata.partitions)
    if (partition.owner == from)
      set_owner(metadata, partition, to);
}

void redistribute_ownership(Metadata& metadata, DaemonId gateway) {
  auto load = placement::partitions_per_gateway(metadata);
  for (auto& partition : metadata.partitions) {
    if (partition.owner != gateway)
      continue;
    auto new_owner = placement::least_loaded_gateway(load, gateway);
    if (new_owner.value() != 0)
      ++load[new_owner];
    set_owner(metadata, partition, new_owner);
  }
}

Result<Metadata> transform(Metadata metadata, const MovePartition& change) {
  auto name = to_text(change.partition);
  if (change.partition.value() >= metadata.partitions.size())
    return reject(name, "is unknown");
  if (auto lock = metadata.locks.find(change.partition); lock != metadata.locks.end())
    return reject(name, "is locked by the sequence of " + to_text(lock->second));
  if (!placement::partitions_per_gateway(metadata).count(change.owner))
    return reject(to_text(change.owner), "is no gateway that may own partitions");
  auto& partition = metadata.partitions[change.partition.value()];
  if (partition.owner == change.owner)
    return reject(name, "is owned by " + to_text(change.owner) + " already");
  set_owner(metadata, partition, change.owner);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const MoveAllPartitions& change) {
  if (!metadata.find(change.from))
    return reject(to_text(change.from), "is unknown");
  if (change.from == change.to)
    return reject(to_text(change.to), "is the same node");
  if (!placement::partitions_per_gateway(metadata).count(change.to))
    return reject(to_text(change.to), "is no gateway that may own partitions");
  for (auto& [partition, holder] : metadata.locks)
    if (metadata.partitions[partition.value()].owner == change.from)
      return reject(to_text(partition), "is locked by the sequence of " + to_text(holder));
  bool owns_any = false;
  for (auto& partition : metadata.partitions)
    owns_any = owns_any || partition.owner == change.from;
  if (!owns_any)
    return reject(to_text(change.from), "owns no partitions");
  transfer_ownership(metadata, change.from, change.to);
  return metadata;
}

}  // namespace mosskeel::transformations
