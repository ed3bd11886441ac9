#include "net/endpoint.hpp"

#include <netdb.h>

#include <cstring>

namespace mosskeel {

std::optional<Endpoint> parse_endpoint(const Address& a) {
  auto colon = a.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == a.size())
    return std::nullopt;
  auto host = a.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  addrinfo want{}, *found = nullptr;
  want.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  want.ai_socktype = SOCK_STREAM;
  if (::getaddrinfo(host.c_str(), a.c_str() + colon + 1, &want, &found) != 0)
    return std::nullopt;
  Endpoint e;
  e.length = found->ai_addrlen;
  std::memcpy(&e.storage, found->ai_addr, found->ai_addrlen);
  ::freeaddrinfo(found);
  return e;
}

Address bound_address(int fd) {
  Endpoint e;
  e.length = sizeof e.storage;
  char host[NI_MAXHOST], port[NI_MAXSERV];
  auto* at = reinterpret_cast<sockaddr*>(&e.storage);
  if (::getsockname(fd, at, &e.length) != 0 ||
      ::getnameinfo(at, e.length, host, sizeof host, port, sizeof port, NI_NUMERICHOST | NI_NUMERICSERV) != 0)
    return {};
  std::string name = host;
  return (name.find(':') == std::string::npos ? name : "[" + name + "]") + ":" + port;
}

bool set_socket_option(int fd, int level, int option, int on) {
  return ::setsockopt(fd, level, option, &on, sizeof on) == 0;
}

}  // namespace mosskeel
