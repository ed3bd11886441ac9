#include "net/nng_socket.hpp"

#include <nng/nng.h>

namespace mosskeel {

NngSocket::~NngSocket() {
  if (id_) {
    nng_close(nng_socket{id_});
  }
}

std::string nng_url(const Address& address) {
  return "tcp://" + address;
}

}  // namespace mosskeel
