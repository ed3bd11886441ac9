#include "soak/processor_burden.hpp"

#include <sched.h>
#include <sys/resource.h>

#include <filesystem>
#include <string>

namespace mosskeel::soak {

namespace {

cpu_set_t one_processor(size_t number) {
  cpu_set_t processors;
  CPU_ZERO(&processors);
  CPU_SET(number % std::thread::hardware_concurrency(), &processors);
  return processors;
}

cpu_set_t all_processors() {
  cpu_set_t processors;
  CPU_ZERO(&processors);
  for (unsigned number = 0; number < std::thread::hardware_concurrency(); ++number)
    CPU_SET(number, &processors);
  return processors;
}

/// Moves all threads of a process; threads that they start later follow.
void move_process(pid_t process, const cpu_set_t& processors) {
  std::error_code error;
  for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task", error))
    ::sched_setaffinity(std::stoi(thread.path().filename().string()), sizeof processors, &processors);
}

}  // namespace

ProcessorBurden::ProcessorBurden(std::vector<pid_t> processes) : processes_(std::move(processes)) {
  for (size_t number = 0; number < processes_.size(); ++number) {
    auto processor = one_processor(number);
    move_process(processes_[number], processor);
    threads_.emplace_back([this, processor] {
      ::sched_setaffinity(0, sizeof processor, &processor);
      while (!stop_requested_) {}
    });
  }
}

ProcessorBurden::~ProcessorBurden() {
  stop_requested_ = true;
  for (auto& thread : threads_)
    thread.join();
  for (auto process : processes_)
    move_process(process, all_processors());
}

}  // namespace mosskeel::soak
