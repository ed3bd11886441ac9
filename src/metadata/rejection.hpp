#pragma once
// Why a transformation does not apply, typed, so that no caller has to look at a later value to find out.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// `revision_conflict`: a configuration built on a revision that is not in place, and that provably was not taken.
/// `forgotten`: built on a revision so old that nobody can tell whether it was taken. `already_in_effect`: what is
/// asked for is in place. `busy`: something else has to end first.
enum class Rejection : uint8_t {
  none,
  revision_conflict,
  forgotten,
  invalid,
  already_in_effect,
  unknown_target,
  refused,
  busy
};

/// Why `t`, which `apply` has refused on this very value, does not apply.
Rejection rejection_reason(const Metadata& m, const Transformation& t);

}  // namespace mosskeel
