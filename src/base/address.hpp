#pragma once
// Text form of network addresses.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Splits "a.b.c.d:port" into its parts. Returns nullopt unless `address` is an IPv4 address with a port from 1 to
/// 65535.
std::optional<std::pair<std::string, uint16_t>> split_address(const std::string& address);

}  // namespace mosskeel
