#pragma once
// One process of the fleet under test.
#include <sys/types.h>

#include <csignal>
#include <string>

namespace mosskeel::soak {

/// Starts a program on its settings file, as a platform does, and sends it signals. A process that still runs when this
/// object goes is killed. Used on one thread.
class DaemonProcess {
 public:
  /// @param program the path of the program.
  /// @param settings the path of its settings file.
  /// @param log what it prints is appended there.
  DaemonProcess(std::string program, std::string settings, std::string log);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts a process; ends this program with an error where that is not possible. None may be running.
  void start();
  /// No effect where no process runs.
  void send_signal(int signal_number);
  /// Kills the process and waits for its end.
  void kill();
  /// Whether a process runs or is frozen.
  bool is_running();
  /// Bytes of memory that the process holds; 0 where none runs.
  size_t resident_bytes();
  /// Descriptors that the process has open; 0 where none runs.
  size_t open_descriptors();
  const std::string& log() const { return log_; }

 private:
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace mosskeel::soak
