#pragma once
// Numeric socket addresses and the socket calls that are used in several places.
#include <sys/socket.h>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// An address as the socket calls take it.
struct Endpoint {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

/// "127.0.0.1:80" or "[::1]:80"; nothing for host names, which would have to be resolved.
std::optional<Endpoint> parse_endpoint(const Address& address);

/// The address that a socket is bound to, with the port that the system chose where none was named; empty on failure.
Address bound_address(int socket);

/// Sets an integer socket option; false where the kernel refuses.
bool set_socket_option(int socket, int level, int option, int value);

/// Makes the next close of the socket send a reset, so that its peer can't take what it received for complete.
void reset_on_close(int socket);

}  // namespace mosskeel
