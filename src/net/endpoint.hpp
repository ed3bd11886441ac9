#pragma once
// Numeric socket addresses and shared helpers for socket calls.
#include <sys/socket.h>

#include "base/fd.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A socket address in the form that system calls take.
struct Endpoint {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

/// Parses "127.0.0.1:80" or "[::1]:80". Returns no value for host names, which would have to be resolved.
std::optional<Endpoint> parse_endpoint(const Address& address);

/// Listens on a numeric address. The error is `unavailable` if another process has the address or the machine lacks
/// something, so that it may work later.
Result<Fd> listen_on(const Address& address);

/// Returns the address that a socket is bound to, including a port chosen by the system; empty on failure.
Address bound_address(int socket);

/// Sets an integer socket option. Returns false if the kernel rejects it.
bool set_socket_option(int socket, int level, int option, int value);

/// Makes the next close of the socket send a TCP reset, so that the peer cannot mistake a truncated response for a
/// complete one.
void reset_on_close(int socket);

}  // namespace mosskeel
