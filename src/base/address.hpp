#pragma once
// Network addresses in their text form.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// The parts of "a.b.c.d:port"; nothing where `address` is not an IPv4 address with a port from 1 to 65535.
std::optional<std::pair<std::string, uint16_t>> split_address(const std::string& address);

}  // namespace mosskeel
