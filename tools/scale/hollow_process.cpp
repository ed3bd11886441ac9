#include "scale/hollow_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

extern char** environ;

namespace mosskeel::scale {
namespace {

constexpr size_t kReadBytes = 65536;
/// Positions of user and system time in /proc/PID/stat, counted from 1 as in proc(5).
constexpr int kFirstFieldAfterName = 3;
constexpr int kUserTimeField = 14;
constexpr int kSystemTimeField = 15;

double cpu_seconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string content((std::istreambuf_iterator<char>(file)), {});
  // The second field is the program's name in parentheses, which may hold anything.
  auto end_of_name = content.rfind(')');
  if (end_of_name == std::string::npos)
    return 0;
  std::istringstream fields(content.substr(end_of_name + 2));
  std::string field;
  double ticks = 0;
  for (int number = kFirstFieldAfterName; fields >> field; ++number) {
    if (number == kUserTimeField || number == kSystemTimeField)
      ticks += std::stod(field);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_megabytes(pid_t pid) {
  static const std::string prefix = "VmRSS:";
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(prefix))
      return std::stod(line.substr(prefix.size())) / 1024;
  }
  return 0;
}

}  // namespace

HollowProcess::HollowProcess(const FleetOptions& options, int first)
    : daemon_count_(std::min(options.daemons_per_process, options.plan.daemons - first)) {
  int to_child[2];
  int from_child[2];
  if (pipe2(to_child, O_CLOEXEC) || pipe2(from_child, O_CLOEXEC))
    return;
  std::vector<std::string> arguments{options.program_folder + "/scale",
                                     "hollow",
                                     "--hollow",
                                     std::to_string(first),
                                     "--many",
                                     std::to_string(options.daemons_per_process),
                                     "--base",
                                     std::to_string(options.first_port),
                                     "--daemons",
                                     std::to_string(options.plan.daemons)};
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments)
    argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_adddup2(&file_actions, to_child[0], STDIN_FILENO);
  posix_spawn_file_actions_adddup2(&file_actions, from_child[1], STDOUT_FILENO);
  if (posix_spawn(&pid_, argument_pointers[0], &file_actions, nullptr, argument_pointers.data(), environ) != 0)
    pid_ = 0;
  posix_spawn_file_actions_destroy(&file_actions);
  ::close(to_child[0]);
  ::close(from_child[1]);
  input_ = to_child[1];
  output_ = from_child[0];
}

HollowProcess::~HollowProcess() {
  ::close(input_);
  if (pid_) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  ::close(output_);
}

std::string HollowProcess::execute(const std::string& command) {
  auto line = command + "\n";
  if (::write(input_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
    return "";
  auto end = unread_.find('\n');
  while (end == std::string::npos) {
    char buffer[kReadBytes];
    auto count = ::read(output_, buffer, sizeof buffer);
    if (count <= 0)
      return "";
    unread_.append(buffer, static_cast<size_t>(count));
    end = unread_.find('\n');
  }
  auto answer = unread_.substr(0, end);
  unread_.erase(0, end + 1);
  return answer;
}

void HollowProcess::execute_for_all(const std::string& command) {
  auto line = command;
  for (int index = 0; index < daemon_count_; ++index)
    line += " " + std::to_string(index);
  execute(line);
}

ProcessUsage process_usage(pid_t pid) {
  return {.cpu_seconds = cpu_seconds(pid), .resident_megabytes = resident_megabytes(pid)};
}

}  // namespace mosskeel::scale
