#include "net/endpoint.hpp"

#include <netdb.h>

#include <cerrno>
#include <cstring>

namespace mosskeel {
namespace {

constexpr int kListenBacklog = 1024;

/// Whether a failure to listen may pass.
bool may_pass(int error) {
  switch (error) {
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

/// Binds and listens. On failure, returns an empty descriptor and sets errno.
Fd listening_socket(const Endpoint& endpoint) {
  Fd socket(::socket(endpoint.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket || !set_socket_option(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1)) {
    return Fd();
  }
  const auto* address = reinterpret_cast<const sockaddr*>(&endpoint.storage);
  if (::bind(socket.get(), address, endpoint.length) != 0 || ::listen(socket.get(), kListenBacklog) != 0) {
    return Fd();
  }
  return socket;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(const Address& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size()) {
    return std::nullopt;
  }
  auto host = address.substr(0, colon);
  auto port = address.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (::getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.length = found->ai_addrlen;
  std::memcpy(&endpoint.storage, found->ai_addr, found->ai_addrlen);
  ::freeaddrinfo(found);
  return endpoint;
}

Result<Fd> listen_on(const Address& address) {
  auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return Errors{{address, "not a numeric address and port to listen at"}};
  }
  auto socket = listening_socket(*endpoint);
  if (!socket) {
    auto code = may_pass(errno) ? ErrorCode::unavailable : ErrorCode::io_error;
    return Errors{{address, std::string("cannot listen: ") + std::strerror(errno), code}};
  }
  return socket;
}

Address bound_address(int socket) {
  Endpoint endpoint;
  endpoint.length = sizeof endpoint.storage;
  auto* address = reinterpret_cast<sockaddr*>(&endpoint.storage);
  if (::getsockname(socket, address, &endpoint.length) != 0) {
    return {};
  }
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];
  constexpr int flags = NI_NUMERICHOST | NI_NUMERICSERV;
  if (::getnameinfo(address, endpoint.length, host, sizeof host, port, sizeof port, flags) != 0) {
    return {};
  }
  std::string host_text = host;
  bool is_ipv6 = host_text.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + host_text + "]" : host_text) + ":" + port;
}

bool set_socket_option(int socket, int level, int option, int value) {
  return ::setsockopt(socket, level, option, &value, sizeof value) == 0;
}

void reset_on_close(int socket) {
  linger discard_unsent{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof discard_unsent);
}

}  // namespace mosskeel
