#pragma once
// Limits of what a gateway holds of replicas' responses.
#include <cstddef>

namespace mosskeel::routing {

/// How many bytes of responses a router holds for its active requests. Everything else of a response is forwarded as it
/// arrives and not held.
struct ResponseLimits {
  /// For the output of one turn that is to be kept.
  size_t turn_output_bytes = 0;
  /// For all responses together: outputs of turns and buffered responses.
  size_t total_bytes = 0;

  /// Derives the limits from the bytes of memory that the process may use; 0 if that is unknown.
  static ResponseLimits for_memory(size_t memory_bytes);
};

}  // namespace mosskeel::routing
