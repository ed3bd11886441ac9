#pragma once
// Why a transformation does not apply, typed, so that no caller has to look at a later value to find out.
#include "metadata/transform.hpp"

namespace mosskeel {

/// `other_revision`: a configuration built on a revision that is not in place, and that provably was not taken.
/// `forgotten`: built on a revision so old that nobody can tell whether it was taken. `already_so`: what is asked for
/// is in place. `busy`: something else has to end first.
enum class Rejection : uint8_t { none, other_revision, forgotten, invalid, already_so, unknown_target, refused, busy };

/// Why `t`, which `apply` has refused on this very value, does not apply.
Rejection rejection(const Metadata& m, const Transformation& t);

}  // namespace mosskeel
