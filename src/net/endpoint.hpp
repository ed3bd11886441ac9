#pragma once
// Numeric addresses as the sockets want them.
#include <sys/socket.h>

#include "mosskeel/common.hpp"

namespace mosskeel {

struct Endpoint {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

/// "127.0.0.1:80" or "[::1]:80"; nothing for names, which would have to be looked up.
std::optional<Endpoint> parse_endpoint(const Address& a);
/// The address a socket is bound to.
Address bound_address(int fd);
/// Sets an integer socket option; false where the kernel refuses.
bool set_socket_option(int fd, int level, int option, int on);

}  // namespace mosskeel
