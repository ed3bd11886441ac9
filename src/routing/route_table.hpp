#pragma once
// The lookup of a configuration's paths by host and longest prefix, built once a revision.
#include <unordered_map>

#include "metadata/metadata.hpp"

namespace mosskeel {

class RouteTable {
 public:
  explicit RouteTable(View v);
  /// The path with the longest prefix that begins `target` (its query does not count), or nothing.
  const Path* find(const std::string& host, std::string_view target) const;
  const View& view() const { return view_; }

 private:
  View view_;
  std::unordered_map<std::string, const Path*> by_;
  std::unordered_map<std::string, size_t> longest_;
};

/// Whether a request of this path may run more than once.
bool is_idempotent(const Path& p);

/// The service that takes a request of this path: by weight, the same one for the same dice.
const std::string* select_service(const Path& p, uint64_t dice);

}  // namespace mosskeel
