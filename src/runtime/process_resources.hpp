#pragma once
// What a daemon takes from the operating system, and the limits under which it runs.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Bounds the address space of threads and heaps, which by default grow with the number of processors, and raises the
/// soft limit of open files to the hard one. Must be called before the first thread is started.
void prepare_process_resources();

/// Checks that the libraries can start their threads, whose number depends on the processors: nng does not survive a
/// failure to create one.
/// @return why threads cannot be created now; empty if they can.
Errors check_thread_capacity();

}  // namespace mosskeel
