#include "soak/machines.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>

namespace mosskeel::soak {

namespace {

/// Bytes at the end of each log that are printed.
constexpr size_t kPrintedLogBytes = 1500;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

std::string name(MachineId machine) {
  const char* const class_names[] = {"core", "storage", "front"};
  return std::string(class_names[static_cast<int>(machine.machine_class)]) + "-" + std::to_string(machine.index + 1);
}

std::vector<std::string> Machines::programs_of(MachineClass machine_class) {
  switch (machine_class) {
    case MachineClass::core:
      return {"controller"};
    case MachineClass::storage:
      return {"store"};
    case MachineClass::front:
      return {"agent", "gateway"};
  }
  return {};
}

Machines::Machines(const MachinesOptions& options) : folder_(options.folder) {
  platform_stub::write_settings(folder_, options.size);
  addresses_ = platform_stub::read_addresses(folder_).value();
  for (auto machine_class : kMachineClasses) {
    for (int index = 0; index < machine_count(machine_class); ++index)
      add_machine({machine_class, index}, options);
  }
}

void Machines::add_machine(MachineId machine, const MachinesOptions& options) {
  const platform_stub::MachineLimits named;
  ProcessLimits limits;
  if (options.enforce_limits)
    limits = {named.memory_mib << 20, named.descriptors};
  for (const auto& program : programs_of(machine.machine_class)) {
    auto daemon = program + std::to_string(machine.index + 1);
    auto process = std::make_unique<DaemonProcess>(options.programs + "/" + program, settings_path(daemon),
                                                   folder_ + "/" + daemon + ".log", limits);
    daemons_[machine].push_back({daemon, std::move(process)});
  }
}

int Machines::machine_count(MachineClass machine_class) const {
  switch (machine_class) {
    case MachineClass::core:
      return addresses_.size.controllers;
    case MachineClass::storage:
      return addresses_.size.stores;
    case MachineClass::front:
      return addresses_.size.gateways;
  }
  return 0;
}

std::string Machines::settings_path(const std::string& daemon) const {
  return folder_ + "/" + daemon + ".toml";
}

void Machines::start_all() {
  for (auto& [machine, daemons] : daemons_) {
    for (auto& daemon : daemons)
      daemon.process->start();
  }
}

void Machines::mark_started(const Daemon& daemon) const {
  constexpr std::string_view first_start = "FirstStart = true";
  auto path = settings_path(daemon.name);
  auto text = read_file(path);
  auto found = text.find(first_start);
  if (found == std::string::npos)
    return;
  text.replace(found, first_start.size(), "FirstStart = false");
  std::ofstream(path) << text;
}

void Machines::start(MachineId machine) {
  for (auto& daemon : daemons(machine)) {
    mark_started(daemon);
    daemon.process->start();
  }
}

void Machines::send_signal(MachineId machine, int signal_number) {
  for (auto& daemon : daemons(machine))
    daemon.process->send_signal(signal_number);
}

bool Machines::have_begun(MachineId machine) {
  auto& of_machine = daemons(machine);
  return std::all_of(of_machine.begin(), of_machine.end(), [](Daemon& daemon) { return daemon.process->has_begun(); });
}

bool Machines::kill_older(MachineId machine) {
  bool any = false;
  for (auto& daemon : daemons(machine))
    any = daemon.process->kill_older() || any;
  return any;
}

bool Machines::has_older(MachineId machine) {
  auto& of_machine = daemons(machine);
  return std::any_of(of_machine.begin(), of_machine.end(), [](Daemon& daemon) { return daemon.process->has_older(); });
}

void Machines::kill(MachineId machine) {
  for (auto& daemon : daemons(machine))
    daemon.process->kill();
}

void Machines::kill_without_waiting(MachineId machine) {
  for (auto& daemon : daemons(machine))
    daemon.process->kill_without_waiting();
}

void Machines::lose_disk(MachineId machine) {
  for (const auto& daemon : daemons(machine)) {
    auto data = folder_ + "/data/" + daemon.name;
    std::filesystem::remove_all(data);
    std::filesystem::create_directories(data);
  }
}

bool Machines::is_running(MachineId machine) {
  auto& of_machine = daemons(machine);
  return std::any_of(of_machine.begin(), of_machine.end(), [](Daemon& daemon) { return daemon.process->is_running(); });
}

bool Machines::are_all_running(MachineId machine) {
  auto& of_machine = daemons(machine);
  return std::all_of(of_machine.begin(), of_machine.end(), [](Daemon& daemon) { return daemon.process->is_running(); });
}

void Machines::stop_all() {
  for (auto& [machine, daemons] : daemons_)
    send_signal(machine, SIGTERM);
}

std::vector<std::string> Machines::running_daemons() {
  std::vector<std::string> running;
  for (auto& [machine, daemons] : daemons_) {
    for (auto& daemon : daemons) {
      if (daemon.process->has_processes())
        running.push_back(daemon.name);
    }
  }
  return running;
}

std::vector<std::string> Machines::take_unexpected_ends() {
  std::vector<std::string> ends;
  for (auto& [machine, daemons] : daemons_) {
    for (auto& daemon : daemons) {
      for (const auto& end : daemon.process->take_unexpected_ends())
        ends.push_back(daemon.name + ": " + end);
    }
  }
  return ends;
}

int Machines::starts() const {
  int total = 0;
  for (const auto& [machine, daemons] : daemons_)
    total += starts(machine);
  return total;
}

int Machines::starts(MachineId machine) const {
  int starts = 0;
  for (const auto& daemon : daemons_.at(machine))
    starts += daemon.process->starts();
  return starts;
}

size_t Machines::resident_bytes(MachineClass machine_class) {
  size_t bytes = 0;
  for (auto& [machine, daemons] : daemons_) {
    for (auto& daemon : daemons)
      bytes += machine.machine_class == machine_class ? daemon.process->resident_bytes() : 0;
  }
  return bytes;
}

size_t Machines::largest_resident_bytes(MachineClass machine_class) {
  size_t bytes = 0;
  for_each(machine_class, [&](DaemonProcess& process) { bytes = std::max(bytes, process.resident_bytes()); });
  return bytes;
}

size_t Machines::peak_resident_bytes(MachineClass machine_class) {
  size_t bytes = 0;
  for_each(machine_class, [&](DaemonProcess& process) { bytes = std::max(bytes, process.peak_resident_bytes()); });
  return bytes;
}

std::vector<pid_t> Machines::processes(MachineClass machine_class) {
  std::vector<pid_t> processes;
  for_each(machine_class, [&](DaemonProcess& process) {
    if (auto running = process.process())
      processes.push_back(*running);
  });
  return processes;
}

void Machines::for_each(MachineClass machine_class, const std::function<void(DaemonProcess&)>& function) {
  for (auto& [machine, daemons] : daemons_) {
    if (machine.machine_class != machine_class)
      continue;
    for (auto& daemon : daemons)
      function(*daemon.process);
  }
}

size_t Machines::open_descriptors(MachineClass machine_class) {
  size_t descriptors = 0;
  for (auto& [machine, daemons] : daemons_) {
    for (auto& daemon : daemons)
      descriptors += machine.machine_class == machine_class ? daemon.process->open_descriptors() : 0;
  }
  return descriptors;
}

void Machines::print_logs() const {
  for (const auto& [machine, daemons] : daemons_) {
    for (const auto& daemon : daemons) {
      auto text = read_file(daemon.process->log());
      auto begin = text.size() - std::min(text.size(), kPrintedLogBytes);
      printf("==> %s\n%s\n", daemon.name.c_str(), text.substr(begin).c_str());
    }
  }
}

}  // namespace mosskeel::soak
