#pragma once
// Why a transformation is rejected, typed, so that nobody has to look at a later value to find out.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// The order of the values is the format on the wire.
enum class Rejection : uint8_t {
  none,
  revision_conflict,  ///< a configuration built on another revision, which provably was not applied
  forgotten,          ///< built on a revision so old that nobody can tell whether it was applied
  invalid,            ///< can't be accepted as it is
  already_in_effect,  ///< what is asked for is the case
  unknown_target,     ///< names something that does not exist
  refused,            ///< not allowed in the present state
  busy,               ///< something else has to end, or to come back, first
};

/// Why a transformation does not apply, which `apply` has rejected on this very value.
Rejection rejection_reason(const Metadata& metadata, const Transformation& transformation);

}  // namespace mosskeel
