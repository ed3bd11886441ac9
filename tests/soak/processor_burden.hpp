#pragma once
// Takes half of a core from processes.
#include <sys/types.h>

#include <atomic>
#include <thread>
#include <vector>

namespace mosskeel::soak {

/// Keeps each process on one core, together with a thread that never waits, so that the kernel gives each of the two
/// half of it. Undone by the destructor.
class ProcessorBurden {
 public:
  explicit ProcessorBurden(std::vector<pid_t> processes);
  ~ProcessorBurden();
  ProcessorBurden(const ProcessorBurden&) = delete;
  ProcessorBurden& operator=(const ProcessorBurden&) = delete;

 private:
  std::vector<pid_t> processes_;
  std::atomic<bool> stop_requested_{false};
  std::vector<std::thread> threads_;
};

}  // namespace mosskeel::soak
