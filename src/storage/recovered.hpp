#pragma once
// What a daemon finds in its data folder when it starts.
#include "mosskeel/common.hpp"

namespace mosskeel {

struct Recovered {
  Incarnation incarnation;
  /// The newest checkpoint, as the state machine encoded it; nothing on a first start.
  std::optional<std::string> checkpoint;
  /// The journal records written after that checkpoint, in order.
  std::vector<std::string> journal;
};

}  // namespace mosskeel
