#pragma once
// Where the daemons of the fleet and the stub's own servers listen, and the settings that tell the daemons.
#include "mosskeel/common.hpp"

namespace mosskeel::platform_stub {

inline constexpr int kZones = 3;
/// One machine of each role stands in each zone.
inline const std::array<std::string, kZones> kZoneNames = {"zone-a", "zone-b", "zone-c"};

/// How many machines of each class a fleet has.
struct FleetSize {
  int controllers = kZones;
  int stores = kZones;
  int gateways = kZones;
};

/// The zone of the machine of a class with that index.
inline const std::string& zone_of(int index) {
  return kZoneNames[static_cast<size_t>(index % kZones)];
}

/// What a platform lets each daemon have.
struct MachineLimits {
  size_t memory_mib = 220;
  size_t descriptors = 4096;
};

/// Addresses of a fleet whose ports begin at `base_port`. Each machine has a loopback address of its own.
struct FleetAddresses {
  uint16_t base_port = 0;
  FleetSize size;

  Address gateway(int index) const { return gateway_ip(index) + port(10); }
  Address readiness(int index) const { return gateway_ip(index) + port(11); }
  Address control_plane(int index) const { return controller_ip(index) + port(12); }
  /// The stub's replica list.
  Address replica_list() const { return stub_ip() + port(13); }
  /// The stub's replica with this number.
  Address replica(int number) const { return stub_ip() + port(20 + number); }

  static std::string stub_ip() { return "127.0.0.1"; }
  static std::string controller_ip(int index) { return "127.0.0." + std::to_string(11 + index); }
  static std::string store_ip(int index) { return "127.0.0." + std::to_string(21 + index); }
  static std::string gateway_ip(int index) { return "127.0.0." + std::to_string(31 + index); }

 private:
  std::string port(int offset) const { return ":" + std::to_string(base_port + offset); }
};

/// Chooses free ports and writes a settings file and an empty data folder for each daemon of the fleet.
void write_settings(const std::string& folder, const FleetSize& size = {});

/// The addresses that `write_settings` chose; nothing where it has not been run on this folder.
std::optional<FleetAddresses> read_addresses(const std::string& folder);

}  // namespace mosskeel::platform_stub
