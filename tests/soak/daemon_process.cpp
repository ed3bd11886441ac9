#include "soak/daemon_process.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
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
/// As of a shell that can't run a program.
constexpr int kCannotExecute = 127;

std::string proc_path(pid_t pid, const std::string& name) {
  return "/proc/" + std::to_string(pid) + "/" + name;
}

void set_limit(decltype(RLIMIT_AS) resource, size_t value) {
  if (value == 0)
    return;
  rlimit limit{value, value};
  ::setrlimit(resource, &limit);
}

std::string describe(int wait_status) {
  if (WIFEXITED(wait_status))
    return "exit code " + std::to_string(WEXITSTATUS(wait_status));
  return std::string("signal ") + std::to_string(WTERMSIG(wait_status)) + " (" + strsignal(WTERMSIG(wait_status)) + ")";
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Whether a mask in the process's status, a line of hexadecimal digits, has the signal.
bool has_signal(const std::string& status, const std::string& mask_name, int signal_number) {
  auto found = status.find(mask_name);
  if (found == std::string::npos)
    return false;
  auto mask = std::strtoull(status.c_str() + found + mask_name.size(), nullptr, 16);
  return (mask >> (signal_number - 1) & 1) != 0;
}

/// Whether SIGHUP would not end the process.
bool holds_hangup(pid_t pid) {
  auto status = read_file(proc_path(pid, "status"));
  return has_signal(status, "SigBlk:", SIGHUP) || has_signal(status, "SigIgn:", SIGHUP) ||
         has_signal(status, "SigCgt:", SIGHUP);
}

/// Whether a library is mapped that all daemons use and no start-up needs.
bool has_loaded_libraries(pid_t pid) {
  return read_file(proc_path(pid, "maps")).find("libnng") != std::string::npos;
}

size_t resident_bytes_of(pid_t pid) {
  size_t total_pages = 0;
  size_t resident_pages = 0;
  std::ifstream(proc_path(pid, "statm")) >> total_pages >> resident_pages;
  return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

size_t peak_resident_bytes_of(pid_t pid) {
  constexpr std::string_view field = "VmHWM:";
  constexpr size_t kKibibyte = 1024;
  auto status = read_file(proc_path(pid, "status"));
  auto found = status.find(field);
  return found == std::string::npos ? 0 : std::strtoull(status.c_str() + found + field.size(), nullptr, 10) * kKibibyte;
}

size_t open_descriptors_of(pid_t pid) {
  std::error_code error;
  std::filesystem::directory_iterator entries(proc_path(pid, "fd"), error);
  return error ? 0 : static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace

DaemonProcess::DaemonProcess(std::string program, std::string settings, std::string log, ProcessLimits limits)
    : program_(std::move(program)), settings_(std::move(settings)), log_(std::move(log)), limits_(limits) {}

DaemonProcess::~DaemonProcess() {
  kill();
}

void DaemonProcess::execute() const {
  int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::close(log);
  // The daemon decides itself which signals it ignores.
  ::signal(SIGPIPE, SIG_DFL);
  set_limit(RLIMIT_AS, limits_.address_space_bytes);
  set_limit(RLIMIT_NOFILE, limits_.descriptors);
  auto configuration = "MOSSKEEL_CONFIG=" + settings_;
  char* arguments[] = {const_cast<char*>(program_.c_str()), nullptr};
  char* environment[] = {configuration.data(), nullptr};
  ::execve(program_.c_str(), arguments, environment);
  _exit(kCannotExecute);
}

void DaemonProcess::start() {
  // Closed by the kernel at the moment at which the program runs.
  int until_executed[2];
  if (::pipe2(until_executed, O_CLOEXEC) != 0)
    exit(kCannotStart);
  auto pid = ::fork();
  if (pid == 0)
    execute();
  ::close(until_executed[1]);
  char byte = 0;
  [[maybe_unused]] auto end_of_file = ::read(until_executed[0], &byte, 1);
  ::close(until_executed[0]);
  if (pid < 0) {
    fprintf(stderr, "soak: %s: cannot start: %s\n", program_.c_str(), std::strerror(errno));
    exit(kCannotStart);
  }
  ++starts_;
  is_newest_running_ = true;
  children_.push_back({pid, monotonic_now()});
}

void DaemonProcess::send_signal(int signal_number) {
  if (!is_running())
    return;
  auto& child = children_.back();
  if (signal_number == SIGTERM || signal_number == SIGINT)
    child.was_told_to_stop = true;
  ::kill(child.pid, signal_number);
}

void DaemonProcess::kill_without_waiting() {
  reap();
  for (auto& child : children_) {
    child.was_killed = true;
    ::kill(child.pid, SIGKILL);
  }
}

void DaemonProcess::end(std::vector<Child> children) {
  for (auto& child : children) {
    child.was_killed = true;
    ::kill(child.pid, SIGKILL);
    int status = 0;
    ::waitpid(child.pid, &status, 0);
    on_end(child, status);
  }
}

void DaemonProcess::kill() {
  reap();
  end(std::exchange(children_, {}));
  is_newest_running_ = false;
}

bool DaemonProcess::has_older() {
  return has_processes() && children_.size() > (is_newest_running_ ? 1u : 0u);
}

bool DaemonProcess::kill_older() {
  if (!has_older())
    return false;
  auto older = std::exchange(children_, {});
  if (is_newest_running_) {
    children_.push_back(older.back());
    older.pop_back();
  }
  end(std::move(older));
  return true;
}

bool DaemonProcess::has_begun() {
  if (!is_running())
    return true;
  auto pid = children_.back().pid;
  return has_loaded_libraries(pid) || holds_hangup(pid);
}

void DaemonProcess::reap() {
  auto newest = children_.empty() ? 0 : children_.back().pid;
  std::erase_if(children_, [&](const Child& child) {
    int status = 0;
    if (::waitpid(child.pid, &status, WNOHANG) != child.pid)
      return false;
    on_end(child, status);
    is_newest_running_ = is_newest_running_ && child.pid != newest;
    return true;
  });
}

void DaemonProcess::on_end(const Child& child, int wait_status) {
  bool ended_by_kill = child.was_killed && WIFSIGNALED(wait_status) && WTERMSIG(wait_status) == SIGKILL;
  bool stopped_in_order = child.was_told_to_stop && WIFEXITED(wait_status) && WEXITSTATUS(wait_status) == EXIT_SUCCESS;
  // Before a program has set up its signals, SIGTERM has its default effect.
  bool stopped_at_once = child.was_told_to_stop && WIFSIGNALED(wait_status) && WTERMSIG(wait_status) == SIGTERM;
  if (ended_by_kill || stopped_in_order || stopped_at_once)
    return;
  auto age = std::chrono::duration<double>(monotonic_now() - child.started_at).count();
  char seconds[32];
  snprintf(seconds, sizeof seconds, "%.2f s after its start", age);
  unexpected_ends_.push_back(describe(wait_status) + ", " + seconds +
                             (child.was_told_to_stop ? ", after SIGTERM" : ", untold"));
}

bool DaemonProcess::is_running() {
  reap();
  return is_newest_running_;
}

bool DaemonProcess::has_processes() {
  reap();
  return !children_.empty();
}

size_t DaemonProcess::resident_bytes() {
  reap();
  size_t bytes = 0;
  for (const auto& child : children_)
    bytes += resident_bytes_of(child.pid);
  return bytes;
}

size_t DaemonProcess::peak_resident_bytes() {
  return is_running() ? peak_resident_bytes_of(children_.back().pid) : 0;
}

std::optional<pid_t> DaemonProcess::process() {
  return is_running() ? std::optional(children_.back().pid) : std::nullopt;
}

size_t DaemonProcess::open_descriptors() {
  reap();
  size_t descriptors = 0;
  for (const auto& child : children_)
    descriptors += open_descriptors_of(child.pid);
  return descriptors;
}

std::vector<std::string> DaemonProcess::take_unexpected_ends() {
  reap();
  return std::exchange(unexpected_ends_, {});
}

}  // namespace mosskeel::soak
