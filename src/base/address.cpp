#include "base/address.hpp"

#include <arpa/inet.h>

namespace mosskeel {

namespace {

constexpr size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;

}  // namespace

std::optional<std::pair<std::string, uint16_t>> split_address(const std::string& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  auto ip = address.substr(0, colon);
  auto port = address.substr(colon + 1);
  in_addr parsed;
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
    return std::nullopt;
  if (port.empty() || port.size() > kMaxPortDigits || port.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  int number = std::stoi(port);
  if (number < 1 || number > kMaxPort)
    return std::nullopt;
  return std::make_pair(ip, static_cast<uint16_t>(number));
}

}  // namespace mosskeel
