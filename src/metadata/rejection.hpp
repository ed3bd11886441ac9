#pragma once
// Typed reasons for a rejected transformation, so that the reason need not be derived from later metadata.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// The order of the values is the format on the wire.
enum class Rejection : uint8_t {
  none,
  revision_conflict,  ///< the configuration is based on another revision and was provably not applied
  forgotten,          ///< based on a revision so old that it is unknown whether it was applied
  invalid,            ///< cannot be accepted as it is
  already_in_effect,  ///< the requested state is already in effect
  unknown_target,     ///< names something that does not exist
  refused,            ///< not allowed in the present state
  busy,               ///< may succeed later, once something else has finished or come back
};

/// The reason why `apply` has rejected a transformation of this metadata.
Rejection rejection_reason(const Metadata& metadata, const Transformation& transformation);

}  // namespace mosskeel
