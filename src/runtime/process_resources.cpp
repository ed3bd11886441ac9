#include "runtime/process_resources.hpp"

#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <future>
#include <thread>

namespace mosskeel {
namespace {

/// Stack of each thread that does not choose its own. The system's default, 8 MiB, would reserve more than a small
/// machine's memory for threads that wait most of the time.
constexpr size_t kThreadStackBytes = 512u << 10;
/// One heap for all threads: a further one reserves 64 MiB of addresses, and memory freed in one is lost to the others.
constexpr int kMaxHeaps = 1;
/// Threads of a daemon besides those of nng that depend on the number of processors.
constexpr long kFixedThreads = 16;
/// nng starts two task threads and one timer thread a processor, up to these numbers.
constexpr long kMaxTaskThreads = 16;
constexpr long kMaxTimerThreads = 8;

void limit_thread_stacks() {
  pthread_attr_t attributes;
  if (::pthread_getattr_default_np(&attributes) != 0)
    return;
  size_t default_bytes = 0;
  ::pthread_attr_getstacksize(&attributes, &default_bytes);
  if (default_bytes > kThreadStackBytes && ::pthread_attr_setstacksize(&attributes, kThreadStackBytes) == 0)
    ::pthread_setattr_default_np(&attributes);
  ::pthread_attr_destroy(&attributes);
}

void raise_descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == limit.rlim_max)
    return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Upper bound of the threads of a daemon that serves no connections yet.
long needed_threads() {
  auto processors = std::max(1L, ::sysconf(_SC_NPROCESSORS_ONLN));
  return kFixedThreads + std::min(2 * processors, kMaxTaskThreads) + std::min(processors, kMaxTimerThreads);
}

}  // namespace

void prepare_process_resources() {
  ::mallopt(M_ARENA_MAX, kMaxHeaps);
  limit_thread_stacks();
  raise_descriptor_limit();
}

Errors check_thread_capacity() {
  auto needed = needed_threads();
  std::promise<void> all_started;
  auto may_end = all_started.get_future().share();
  std::vector<std::thread> threads;
  Errors errors;
  try {
    threads.reserve(static_cast<size_t>(needed));
    while (threads.size() < static_cast<size_t>(needed))
      threads.emplace_back([may_end] { may_end.wait(); });
  } catch (const std::exception& failure) {
    errors.push_back({"threads",
                      std::to_string(needed) + " are needed, the limits of this process allow " +
                          std::to_string(threads.size()) + ": " + failure.what(),
                      ErrorCode::unavailable});
  }
  all_started.set_value();
  for (auto& thread : threads)
    thread.join();
  return errors;
}

}  // namespace mosskeel
