#pragma once
// One process of the fleet under test.
#include <sys/types.h>

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace mosskeel::soak {

/// What the kernel lets a daemon have; 0 for as much as this program has itself.
struct ProcessLimits {
  size_t address_space_bytes = 0;
  size_t descriptors = 0;
};

/// Starts a program on its settings file, as a platform does, sends it signals, and notices how each of its processes
/// ends. Processes that still run when this object goes are killed. Used on one thread.
class DaemonProcess {
 public:
  /// @param program the path of the program.
  /// @param settings the path of its settings file.
  /// @param log what it prints is appended there.
  DaemonProcess(std::string program, std::string settings, std::string log, ProcessLimits limits);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts a process; ends this program with an error where that is not possible. The process before may still be
  /// ending.
  void start();
  /// To the newest process; no effect where it has ended.
  void send_signal(int signal_number);
  /// Kills all processes and waits for their end.
  void kill();
  /// Sends SIGKILL to all processes and does not wait for their end.
  void kill_without_waiting();
  /// Whether the newest process is past the kernel's part of its start: it holds SIGHUP, or has more than the C and C++
  /// libraries in memory.
  bool has_begun();
  /// Kills the processes before the newest one and waits for their end. Whether there were any.
  bool kill_older();
  bool has_older();
  /// Whether the newest process runs or is frozen.
  bool is_running();
  /// Whether any process runs or is frozen.
  bool has_processes();
  /// Bytes of memory that the processes hold.
  size_t resident_bytes();
  /// The most bytes that the newest process has held at any time.
  size_t peak_resident_bytes();
  /// The newest process; nothing where it has ended.
  std::optional<pid_t> process();
  /// Descriptors that the processes have open.
  size_t open_descriptors();
  /// Starts so far.
  int starts() const { return starts_; }
  /// How processes ended that were not told to, or in another way than they were told; each is returned once.
  std::vector<std::string> take_unexpected_ends();
  const std::string& log() const { return log_; }

 private:
  struct Child {
    pid_t pid = 0;
    MonotonicTime started_at{};
    bool was_told_to_stop = false;
    bool was_killed = false;
  };
  /// Runs in the new process; does not return.
  [[noreturn]] void execute() const;
  /// Kills processes and waits for their end.
  void end(std::vector<Child> children);
  void reap();
  void on_end(const Child& child, int wait_status);

  const std::string program_;
  const std::string settings_;
  const std::string log_;
  const ProcessLimits limits_;
  /// Those that have not ended; the newest last.
  std::vector<Child> children_;
  bool is_newest_running_ = false;
  int starts_ = 0;
  std::vector<std::string> unexpected_ends_;
};

}  // namespace mosskeel::soak
