#pragma once
// Checks that all daemons of a simulated world agree on the metadata.
#include <functional>
#include <map>
#include <set>

#include "metadata/metadata.hpp"

namespace mosskeel::sim {

/// Compares each metadata value that any daemon shows with those shown before, by daemons that are gone as well.
///
/// Invariant: an epoch of a cluster has one value for ever. An epoch number may get a second value only where a
/// re-founded core uses the number of an epoch that was lost with the last disk that held it; from then on no daemon
/// may hold the value of the former cluster.
class MetadataAgreement {
 public:
  /// A daemon that runs at this moment, and what it shows.
  struct Holder {
    std::string name;
    MetadataSnapshot metadata;
  };
  using Holders = std::function<std::vector<Holder>()>;
  using Fail = std::function<void(const std::string&)>;

  /// `holders` lists all running daemons; `fail` hears of each broken promise.
  MetadataAgreement(Holders holders, Fail fail) : holders_(std::move(holders)), fail_(std::move(fail)) {}
  /// The daemon of this name shows a value that it did not show before.
  void observe(const std::string& name, const Metadata& metadata);

 private:
  struct EpochOfCluster {
    Epoch epoch{};
    uint64_t cluster = 0;
    auto operator<=>(const EpochOfCluster&) const = default;
  };
  void check_cluster(const std::string& name, const Metadata& metadata);
  void check_nobody_holds(const std::string& founder, const EpochOfCluster& lost);

  Holders holders_;
  Fail fail_;
  std::map<EpochOfCluster, uint64_t> digests_;
  /// The cluster that was seen last at each epoch number.
  std::map<Epoch, uint64_t> clusters_;
  /// Epochs whose number another cluster has used again.
  std::set<EpochOfCluster> retired_;
};

}  // namespace mosskeel::sim
