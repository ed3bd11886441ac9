#include "routing/route_table.hpp"

namespace mosskeel {

RouteTable::RouteTable(MetadataSnapshot view) : view_(std::move(view)) {
  for (auto& path : view_->configuration.paths) {
    path_by_key_[key(path.host, path.prefix)] = &path;
    auto& longest = longest_prefix_[path.host];
    longest = std::max(longest, path.prefix.size());
  }
}

std::string RouteTable::key(const std::string& host, std::string_view prefix) {
  std::string joined = host + "\n";
  joined.append(prefix);
  return joined;
}

const Path* RouteTable::find(const std::string& host, std::string_view target) const {
  auto longest = longest_prefix_.find(host);
  if (longest == longest_prefix_.end())
    return nullptr;
  auto path = target.substr(0, target.find_first_of("?#"));
  // Configured prefixes end with a slash, so only the parts of the path up to a slash are looked up, longest first.
  auto prefix = path.substr(0, longest->second);
  for (auto slash = prefix.rfind('/'); slash != std::string_view::npos; slash = prefix.rfind('/')) {
    prefix = prefix.substr(0, slash + 1);
    if (auto found = path_by_key_.find(key(host, prefix)); found != path_by_key_.end())
      return found->second;
    prefix.remove_suffix(1);
  }
  return nullptr;
}

bool is_idempotent(const Path& path) {
  return path.path_kind() == PathKind::safe || (path.path_kind() == PathKind::streaming && path.resumable);
}

const std::string* select_service(const Path& path, uint64_t hash) {
  uint64_t total = 0;
  for (auto& share : path.shares)
    total += share.weight;
  if (total == 0)
    return nullptr;
  auto position = hash % total;
  for (auto& share : path.shares) {
    if (position < share.weight)
      return &share.service;
    position -= share.weight;
  }
  return nullptr;
}

}  // namespace mosskeel
