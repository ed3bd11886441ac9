#include "soak/daemon_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <utility>

namespace mosskeel::soak {

namespace {

constexpr int kCannotStart = 2;
constexpr mode_t kLogMode = 0644;

std::string proc_path(pid_t pid, const std::string& name) {
  return "/proc/" + std::to_string(pid) + "/" + name;
}

}  // namespace

DaemonProcess::DaemonProcess(std::string program, std::string settings, std::string log)
    : program_(std::move(program)), settings_(std::move(settings)), log_(std::move(log)) {}

DaemonProcess::~DaemonProcess() {
  kill();
}

void DaemonProcess::start() {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  // The daemon decides itself which signals it ignores.
  sigset_t defaults;
  sigemptyset(&defaults);
  sigaddset(&defaults, SIGPIPE);
  posix_spawnattr_setsigdefault(&attributes, &defaults);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
  auto configuration = "MOSSKEEL_CONFIG=" + settings_;
  char* arguments[] = {const_cast<char*>(program_.c_str()), nullptr};
  char* environment[] = {configuration.data(), nullptr};
  auto error = posix_spawn(&pid_, program_.c_str(), &files, &attributes, arguments, environment);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
  if (error == 0)
    return;
  fprintf(stderr, "soak: %s: cannot start: %s\n", program_.c_str(), std::strerror(error));
  exit(kCannotStart);
}

void DaemonProcess::send_signal(int signal_number) {
  if (is_running())
    ::kill(pid_, signal_number);
}

void DaemonProcess::kill() {
  if (!is_running())
    return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool DaemonProcess::is_running() {
  if (pid_ != 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ != 0;
}

size_t DaemonProcess::resident_bytes() {
  if (!is_running())
    return 0;
  size_t total_pages = 0;
  size_t resident_pages = 0;
  std::ifstream(proc_path(pid_, "statm")) >> total_pages >> resident_pages;
  return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

size_t DaemonProcess::open_descriptors() {
  if (!is_running())
    return 0;
  std::error_code error;
  std::filesystem::directory_iterator entries(proc_path(pid_, "fd"), error);
  return error ? 0 : static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace mosskeel::soak
