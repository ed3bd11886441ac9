#pragma once
// The data that a daemon recovers from its data folder when it starts.
#include "mosskeel/common.hpp"

namespace mosskeel {

struct Recovered {
  Incarnation incarnation;
  /// The newest checkpoint, as encoded by the state machine; nothing on a first start.
  std::optional<std::string> checkpoint;
  /// The journal records written after the checkpoint, in order.
  std::vector<std::string> journal;
};

}  // namespace mosskeel
