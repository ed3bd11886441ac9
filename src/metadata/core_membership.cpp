#include "metadata/core_membership.hpp"

#include <algorithm>

namespace mosskeel {

size_t count_down_members(const Metadata& m) {
  auto down = std::count_if(m.members.begin(), m.members.end(), [&](auto id) {
    auto* d = m.find(id);
    return d && d->state == DaemonState::down;
  });
  return static_cast<size_t>(down);
}

}  // namespace mosskeel
