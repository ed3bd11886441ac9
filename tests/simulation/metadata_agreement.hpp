#pragma once
// Checks that all daemons of a simulated world agree on the metadata.
#include <functional>
#include <map>
#include <set>

#include "metadata/metadata.hpp"

namespace mosskeel::sim {

/// Compares each metadata value that a daemon exposes with those seen before, including values of stopped daemons.
///
/// Invariant: an epoch of a cluster never changes its value. An epoch number may get a second value only where a
/// re-founded core uses the number of an epoch that was lost with the last disk that held it; from then on no daemon
/// may hold the value of the former cluster.
class MetadataAgreement {
 public:
  /// A running daemon and its current metadata.
  struct Holder {
    std::string name;
    MetadataSnapshot metadata;
  };
  using Holders = std::function<std::vector<Holder>()>;
  using Fail = std::function<void(const std::string&)>;

  /// `holders` lists all running daemons; `fail` is called for each violation.
  MetadataAgreement(Holders holders, Fail fail) : holders_(std::move(holders)), fail_(std::move(fail)) {}
  /// Records a new metadata value of a daemon and checks it.
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
  /// The cluster seen last at each epoch number.
  std::map<Epoch, uint64_t> clusters_;
  /// Epochs whose number was reused by another cluster.
  std::set<EpochOfCluster> retired_;
};

}  // namespace mosskeel::sim
