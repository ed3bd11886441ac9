#include "simulation/metadata_agreement.hpp"

#include "net/wire.hpp"

namespace mosskeel::sim {

void MetadataAgreement::observe(const std::string& name, const Metadata& metadata) {
  auto value = digest(codec::encode(metadata));
  auto [known, first] = digests_.emplace(EpochOfCluster{metadata.epoch, metadata.cluster}, value);
  if (!first && known->second != value)
    fail_(name + " holds another value at epoch " + std::to_string(metadata.epoch.value()));
  check_cluster(name, metadata);
}

/// Reports a value of a cluster that was replaced at this epoch number, and a replacement while the old value is held.
void MetadataAgreement::check_cluster(const std::string& name, const Metadata& metadata) {
  auto [current, first] = clusters_.emplace(metadata.epoch, metadata.cluster);
  if (first || current->second == metadata.cluster)
    return;
  EpochOfCluster shown{metadata.epoch, metadata.cluster};
  EpochOfCluster former{metadata.epoch, current->second};
  if (digests_[former] == digests_[shown])
    return;
  if (retired_.count(shown))
    return fail_(name + " holds a value of an earlier core at epoch " + std::to_string(metadata.epoch.value()));
  check_nobody_holds(name, former);
  retired_.insert(former);
  current->second = metadata.cluster;
}

void MetadataAgreement::check_nobody_holds(const std::string& founder, const EpochOfCluster& lost) {
  for (const auto& [name, held] : holders_())
    if (held->cluster == lost.cluster && held->epoch >= lost.epoch)
      fail_(founder + " re-founds epoch " + std::to_string(lost.epoch.value()) + ", which " + name +
            " holds with another value");
}

}  // namespace mosskeel::sim
