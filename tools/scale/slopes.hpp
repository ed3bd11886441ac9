#pragma once
// Runs the experiments over their sizes and writes how the figures grow.
#include "mosskeel/common.hpp"

namespace mosskeel::scale {

struct SlopesOptions {
  /// The folder for the report.
  std::string output_folder;
  /// Only experiments whose name begins so.
  std::string name_prefix;
  int seeds = 3;
  /// Larger fleets are left out.
  int largest_fleet = 340;
};

/// Runs all experiments; 0 if no invariant was broken.
int run_slopes(const SlopesOptions& options);

}  // namespace mosskeel::scale
