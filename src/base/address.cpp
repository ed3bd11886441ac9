#include "base/address.hpp"

#include <arpa/inet.h>

namespace mosskeel {

std::optional<std::pair<std::string, uint16_t>> split_address(const std::string& a) {
  auto c = a.rfind(':');
  if (c == std::string::npos)
    return std::nullopt;
  in_addr x;
  auto ip = a.substr(0, c), port = a.substr(c + 1);
  if (inet_pton(AF_INET, ip.c_str(), &x) != 1 || port.empty() || port.size() > 5)
    return std::nullopt;
  if (port.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  int p = std::stoi(port);
  if (p < 1 || p > 65535)
    return std::nullopt;
  return std::make_pair(ip, static_cast<uint16_t>(p));
}

}  // namespace mosskeel
