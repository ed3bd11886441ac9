#include "platform_stub/fleet_addresses.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "base/fd.hpp"

namespace mosskeel::platform_stub {

namespace {

/// Ports from the base on that belong to the fleet.
constexpr int kPortCount = 40;
/// The daemons' internal ports are the base and those up to this offset.
constexpr int kLastInternalPort = 9;
constexpr int kFirstBasePort = 10000;
constexpr int kBasePortRange = 20000;
/// Random bases that are tried before the one that is hoped to be free.
constexpr int kBasePortAttempts = 200;
constexpr uint16_t kFallbackBasePort = 21000;

bool is_port_free(const std::string& ip, uint16_t port) {
  Fd probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return ::bind(probe.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

bool are_ports_free(uint16_t base_port) {
  for (int offset = 0; offset < kPortCount; ++offset) {
    auto port = static_cast<uint16_t>(base_port + offset);
    for (const auto& ip :
         {FleetAddresses::stub_ip(), FleetAddresses::controller_ip(0), FleetAddresses::gateway_ip(0)}) {
      if (!is_port_free(ip, port))
        return false;
    }
  }
  return true;
}

uint16_t find_free_base_port() {
  std::random_device random;
  for (int i = 0; i < kBasePortAttempts; ++i) {
    auto base_port = static_cast<uint16_t>(kFirstBasePort + random() % kBasePortRange);
    if (are_ports_free(base_port))
      return base_port;
  }
  return kFallbackBasePort;
}

std::string quoted(const std::string& text) {
  return "\"" + text + "\"";
}

/// A daemon's program, and the machines that run it.
struct DaemonRole {
  std::string program;
  std::string machine_prefix;
  std::string (*ip_of)(int index);
  int machines = 0;
};

std::string settings_text(const FleetAddresses& addresses, const DaemonRole& role, int index,
                          const std::string& data_folder) {
  auto first_port = std::to_string(addresses.base_port);
  auto last_port = std::to_string(addresses.base_port + kLastInternalPort);
  std::string seeds;
  for (int seed = 0; seed < kZones; ++seed)
    seeds += (seed == 0 ? "" : ",") + quoted(addresses.control_plane(seed));
  std::string text;
  text += "NodeName = " + quoted(role.machine_prefix + "-" + std::to_string(index + 1)) + "\n";
  text += "Ip = " + quoted(role.ip_of(index)) + "\n";
  text += "Zone = " + quoted(zone_of(index)) + "\n";
  text += "InternalPorts = [" + first_port + "," + last_port + "]\n";
  text += "SeedNodes = [" + seeds + "]\n";
  text += "FirstStart = true\n";
  text += "DataDir = " + quoted(data_folder) + "\n";
  text += "[ListenAddrs]\n";
  text += "FrontHttp = " + quoted(addresses.gateway(index)) + "\n";
  text += "Readiness = " + quoted(addresses.readiness(index)) + "\n";
  text += "ControlPlane = " + quoted(addresses.control_plane(index)) + "\n";
  const MachineLimits limits;
  text += "[Limits]\nMemoryMb = " + std::to_string(limits.memory_mib) + "\n";
  text += "FileDescriptors = " + std::to_string(limits.descriptors) + "\n";
  text += "[ToleratedLosses]\nMachines = 1\nZones = 1\n";
  text += "[CloudApi]\nAddress = " + quoted(addresses.replica_list()) + "\nRatePerS = 40.0\n";
  return text;
}

std::string base_port_file(const std::string& folder) {
  return folder + "/base";
}

}  // namespace

void write_settings(const std::string& folder, const FleetSize& size) {
  const DaemonRole roles[] = {{"controller", "core", FleetAddresses::controller_ip, size.controllers},
                              {"store", "storage", FleetAddresses::store_ip, size.stores},
                              {"gateway", "front", FleetAddresses::gateway_ip, size.gateways},
                              {"agent", "front", FleetAddresses::gateway_ip, size.gateways}};
  FleetAddresses addresses{find_free_base_port(), size};
  for (const auto& role : roles) {
    for (int index = 0; index < role.machines; ++index) {
      auto daemon = role.program + std::to_string(index + 1);
      auto data_folder = folder + "/data/" + daemon;
      std::ofstream(folder + "/" + daemon + ".toml") << settings_text(addresses, role, index, data_folder);
      std::filesystem::create_directories(data_folder);
    }
  }
  std::ofstream(base_port_file(folder)) << addresses.base_port << " " << size.controllers << " " << size.stores << " "
                                        << size.gateways << "\n";
}

std::optional<FleetAddresses> read_addresses(const std::string& folder) {
  FleetAddresses addresses;
  auto& size = addresses.size;
  std::ifstream file(base_port_file(folder));
  if (!(file >> addresses.base_port >> size.controllers >> size.stores >> size.gateways))
    return std::nullopt;
  return addresses;
}

}  // namespace mosskeel::platform_stub
