#include "routing/route_table.hpp"

namespace mosskeel {

RouteTable::RouteTable(View v) : view_(std::move(v)) {
  for (auto& p : view_->configuration.paths) {
    by_[p.host + "\n" + p.prefix] = &p;
    auto& n = longest_[p.host];
    n = std::max(n, p.prefix.size());
  }
}

const Path* RouteTable::find(const std::string& host, std::string_view target) const {
  auto l = longest_.find(host);
  if (l == longest_.end())
    return nullptr;
  auto path = target.substr(0, target.find_first_of("?#"));
  std::string key = host + "\n";
  auto head = key.size();
  for (auto end = path.substr(0, l->second).rfind('/'); end != std::string_view::npos;
       end = end ? path.rfind('/', end - 1) : std::string_view::npos) {
    key.resize(head);
    key.append(path.substr(0, end + 1));
    if (auto i = by_.find(key); i != by_.end())
      return i->second;
  }
  return nullptr;
}

bool is_idempotent(const Path& p) {
  return p.path_kind() == PathKind::safe || (p.path_kind() == PathKind::streaming && p.resumable);
}

const std::string* select_service(const Path& p, uint64_t dice) {
  uint64_t sum = 0;
  for (auto& s : p.shares)
    sum += s.weight;
  if (sum == 0)
    return nullptr;
  auto x = dice % sum;
  for (auto& s : p.shares) {
    if (x < s.weight)
      return &s.service;
    x -= s.weight;
  }
  return nullptr;
}

}  // namespace mosskeel
