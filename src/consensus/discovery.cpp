// How controllers without a log find each other and propose a founding.
#include <algorithm>

#include "consensus/controller_machine.hpp"

namespace mosskeel {

void ControllerMachine::discover(Millis now) {
  next_discover_ = now + limits::discover;
  std::erase_if(fellows_, [&](auto& f) { return now - f.second.second > limits::discover * 8; });
  auto& self = out_.id().self;
  for (auto& a : out_.id().seeds)
    if (a != self.addr) out_.send(a, Discover{self});
  for (auto& [inc, f] : fellows_) out_.send(f.first.addr, Discover{self});
  size_t n = fellows_.size() + 1, core = out_.id().core_size;
  bool lowest = fellows_.empty() || self.inc < fellows_.begin()->first;
  Millis age = now - born_;
  bool all = n >= core && age > limits::found_pause, some = n >= majority_of(core) && age > limits::found_patience;
  if (!(lowest && (all || some)) && !(some && age > limits::found_patience * 3)) return;
  Candidates v{self};
  for (auto& [inc, f] : fellows_) v.push_back(f.first);
  std::sort(v.begin(), v.end(), [](auto& a, auto& b) { return a.inc < b.inc; });
  if (v.size() > core) v.resize(core);
  if (!prop_.idle() || now - evidence_ <= limits::evidence) return;
  out_.note(Event::founding, std::to_string(v.size()) + " of " + std::to_string(core) + " controllers");
  prop_.found({digest(hex(self.inc.v)), static_cast<uint32_t>(core), v, 0, out_.id().copies}, v, now);
}

}  // namespace mosskeel
