#pragma once
// Runs the experiments over their sizes and writes the report.
#include "scale/experiments.hpp"

namespace mosskeel::scale {

struct SlopesAsk {
  std::string out, only;
  int seeds = 3, largest = 340;
};
int slopes(const SlopesAsk& a);

}  // namespace mosskeel::scale
