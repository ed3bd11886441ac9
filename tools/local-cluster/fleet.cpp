#include "fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>

#include "base/fd.hpp"
#include "runtime/settings.hpp"

extern char** environ;

namespace mosskeel::local_cluster {
namespace {

namespace fs = std::filesystem;

/// Seeds are the first controllers, so many.
constexpr int kSeedCount = 3;
/// Milliseconds between the chunks of an application's replica.
constexpr const char* kAppChunkInterval = "5";
constexpr int kDefaultFirstPort = 21000;
constexpr int kLeastFirstPort = 10001;
constexpr int kFirstPortRange = 20000;

bool is_free(int port) {
  Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::bind(socket.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

bool are_free(int first, int end) {
  for (int port = first; port < end; ++port) {
    if (!is_free(port))
      return false;
  }
  return true;
}

std::string numbered(const std::string& prefix, int index) {
  return prefix + std::to_string(index + 1);
}

}  // namespace

int find_free_ports(int count) {
  constexpr int attempts = 100;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    auto first = kLeastFirstPort + static_cast<int>(random_number() % kFirstPortRange);
    if (are_free(first - 1, first + count))
      return first;
  }
  return kDefaultFirstPort;
}

Fleet::Fleet(Plan plan) : plan_(std::move(plan)), next_port_(plan_.first_port) {
  add_controllers();
  add_stores();
  add_gateways();
  add_replicas("model", plan_.models, plan_.model_chunk_interval);
  add_replicas("app", plan_.apps, kAppChunkInterval);
}

Fleet::~Fleet() {
  std::lock_guard lock(mutex_);
  for (auto& process : processes_) {
    if (process.pid)
      kill(process);
  }
}

Address Fleet::next_address() {
  return "127.0.0.1:" + std::to_string(next_port_++);
}

Process& Fleet::add(const std::string& name, const std::string& program, int zone) {
  Process process;
  process.name = name;
  process.program = program;
  process.zone = std::string(1, static_cast<char>('a' + zone % plan_.zones));
  process.data_folder = plan_.folder + "/" + name;
  processes_.push_back(std::move(process));
  return processes_.back();
}

void Fleet::add_controllers() {
  for (int index = 0; index < plan_.controllers; ++index) {
    auto& process = add(numbered("controller", index), "controller", index);
    process.listen_address = next_address();
    process.http_address = next_address();
    if (index < kSeedCount)
      seeds_ += (index ? "," : "") + process.listen_address;
  }
  for (auto& process : processes_) {
    process.arguments = {"--listen", process.listen_address, "--http",      process.http_address,
                         "--zone",   process.zone,           "--seeds",     seeds_,
                         "--data",   process.data_folder,    "--core-size", std::to_string(plan_.controllers)};
  }
}

void Fleet::add_stores() {
  for (int index = 0; index < plan_.stores; ++index) {
    auto& process = add(numbered("store", index), "store", index);
    process.listen_address = next_address();
    process.http_address = next_address();
    process.arguments = {"--listen", process.listen_address, "--http",  process.http_address,
                         "--zone",   process.zone,           "--seeds", seeds_,
                         "--data",   process.data_folder};
  }
}

void Fleet::add_gateways() {
  for (int index = 0; index < plan_.gateways; ++index) {
    auto agent_address = next_address();
    auto gateway_address = next_address();
    auto& agent = add(numbered("agent", index), "agent", index);
    agent.listen_address = agent_address;
    agent.arguments = {"--listen", agent_address, "--agent", gateway_address, "--zone", agent.zone, "--seeds", seeds_};
    auto& gateway = add(numbered("gateway", index), "gateway", index);
    gateway.listen_address = gateway_address;
    gateway.http_address = next_address();
    gateway.arguments = {"--listen", gateway_address, "--http", gateway.http_address,
                         "--agent",  agent_address,   "--zone", gateway.zone};
  }
}

void Fleet::add_replicas(const std::string& kind, int count, const std::string& chunk_interval) {
  for (int index = 0; index < count; ++index) {
    auto& process = add(numbered(kind, index), "replica-sim", index);
    process.http_address = next_address();
    process.arguments = {"--http", process.http_address, "--kind", kind,
                         "--name", process.name,         "--runs", plan_.folder + "/runs-" + process.name,
                         "--pace", chunk_interval};
  }
}

Errors Fleet::spawn(Process& process) {
  std::vector<std::string> arguments{plan_.program_folder + "/" + process.program};
  arguments.insert(arguments.end(), process.arguments.begin(), process.arguments.end());
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments)
    argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  auto log_file = plan_.folder + "/" + process.name + ".log";
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
  int error =
      posix_spawn(&process.pid, arguments[0].c_str(), &file_actions, nullptr, argument_pointers.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  process.frozen = false;
  if (error) {
    process.pid = 0;
    return {{arguments[0], strerror(error)}};
  }
  return {};
}

Errors Fleet::start_all() {
  std::error_code ignored;
  fs::create_directories(plan_.folder, ignored);
  std::lock_guard lock(mutex_);
  for (auto& process : processes_) {
    if (auto errors = spawn(process); !errors.empty())
      return errors;
  }
  return {};
}

void Fleet::reap() {
  for (auto& process : processes_) {
    if (process.pid && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid)
      process.pid = 0;
  }
}

void Fleet::kill(Process& process) {
  ::kill(process.pid, SIGKILL);
  ::waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

Errors Fleet::start(Process& process) {
  if (process.pid)
    return {{process.name, "runs already"}};
  return spawn(process);
}

Errors Fleet::wipe(Process& process) {
  if (process.pid)
    return {{process.name, "runs; kill it first"}};
  std::error_code ignored;
  fs::remove_all(process.data_folder, ignored);
  return {};
}

Errors Fleet::act(const std::string& action, const std::string& name) {
  std::lock_guard lock(mutex_);
  reap();
  auto has_name = [&](const Process& process) {
    return process.name == name;
  };
  auto process = std::find_if(processes_.begin(), processes_.end(), has_name);
  if (process == processes_.end())
    return {{name, "is no process of this fleet"}};
  if (action == "start")
    return start(*process);
  if (action == "wipe")
    return wipe(*process);
  if (!process->pid)
    return {{name, "does not run"}};
  if (action == "kill") {
    kill(*process);
  } else if (action == "stop") {
    ::kill(process->pid, SIGTERM);
  } else if (action == "freeze") {
    ::kill(process->pid, SIGSTOP);
    process->frozen = true;
  } else if (action == "wake") {
    ::kill(process->pid, SIGCONT);
    process->frozen = false;
  } else {
    return {{action, "is none of kill, freeze, wake, stop, start, wipe"}};
  }
  return {};
}

std::vector<Process> Fleet::list() {
  std::lock_guard lock(mutex_);
  reap();
  return processes_;
}

std::vector<Address> Fleet::controllers() {
  std::vector<Address> addresses;
  for (const auto& process : list()) {
    if (process.program == "controller")
      addresses.push_back(process.http_address);
  }
  return addresses;
}

}  // namespace mosskeel::local_cluster
