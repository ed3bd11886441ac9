#pragma once
// Lookup of configured paths by host and longest prefix.
#include <unordered_map>

#include "metadata/metadata.hpp"

namespace mosskeel {

/// Immutable index of the paths of one configuration revision; shares ownership of the metadata that they are part of.
class RouteTable {
 public:
  explicit RouteTable(MetadataSnapshot view);
  /// The path of this host that is the longest prefix of `target`, without its query; nullptr if none matches.
  const Path* find(const std::string& host, std::string_view target) const;
  const MetadataSnapshot& view() const { return view_; }

 private:
  static std::string key(const std::string& host, std::string_view prefix);

  MetadataSnapshot view_;
  std::unordered_map<std::string, const Path*> path_by_key_;
  /// Length in bytes of the longest configured prefix of each host.
  std::unordered_map<std::string, size_t> longest_prefix_;
};

/// Whether a request of this path may run more than once.
bool is_idempotent(const Path& path);

/// Selects a service of this path by weight; equal hashes give the same service. nullptr if no service has a weight.
const std::string* select_service(const Path& path, uint64_t hash);

}  // namespace mosskeel
