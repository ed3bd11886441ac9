#include "net/transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include "base/log.hpp"
#include "net/constants.hpp"
#include "net/wire.hpp"

namespace mosskeel {
namespace {

/// In milliseconds, like all of nng's durations. Bounds how long the receiving thread takes to notice a stop request.
constexpr nng_duration kReceiveTimeout = 200;
/// Larger than any message, but small enough that a corrupt length field wastes little memory.
constexpr size_t kMaxMessageBytes = 64u << 20;

/// Errors of nng that may pass: another process has the address, or the machine lacks something.
bool may_pass(int nng_error) {
  return nng_error == NNG_EADDRINUSE || nng_error == NNG_EADDRINVAL || nng_error == NNG_ENOMEM ||
         nng_error == NNG_ENOFILES;
}

Errors nng_errors(const Address& address, int nng_error) {
  return {{address, nng_strerror(nng_error), may_pass(nng_error) ? ErrorCode::unavailable : ErrorCode::io_error}};
}

}  // namespace

Result<std::unique_ptr<Transport>> Transport::open(const Address& address, SendQueueLimits send_limits,
                                                   MessageCallback on_message) {
  nng_socket socket;
  if (int error = nng_pull0_open(&socket)) {
    return nng_errors(address, error);
  }
  NngSocket receiver(socket.id);
  nng_socket_set_int(socket, NNG_OPT_RECVBUF, kMaxReceivedMessages);
  nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, kReceiveTimeout);
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  if (int error = nng_listen(socket, nng_url(address).c_str(), nullptr, 0)) {
    return nng_errors(address, error);
  }
  std::unique_ptr<Transport> transport(new Transport(std::move(receiver), send_limits, std::move(on_message)));
  transport->thread_ = std::thread([self = transport.get()] { self->receive_messages(); });
  return transport;
}

Transport::Transport(NngSocket receiver, SendQueueLimits send_limits, MessageCallback on_message)
    : receiver_(std::move(receiver)), on_message_(std::move(on_message)), sender_(send_limits) {}

Transport::~Transport() {
  stop_requested_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Transport::receive_messages() {
  while (!stop_requested_) {
    void* bytes = nullptr;
    size_t size = 0;
    int error = nng_recv(nng_socket{receiver_.id()}, &bytes, &size, NNG_FLAG_ALLOC);
    if (error == NNG_ETIMEDOUT) {
      continue;
    }
    if (error) {
      return;
    }
    auto envelope = decode({static_cast<char*>(bytes), size});
    nng_free(bytes, size);
    on_received(std::move(envelope), size);
  }
}

void Transport::on_received(std::optional<Envelope> envelope, size_t bytes) {
  if (envelope) {
    on_message_(std::move(*envelope), bytes);
    return;
  }
  ++foreign_;
  log_event(Event::foreign, std::to_string(bytes) + " bytes dropped: no valid message");
}

bool Transport::send(const Envelope& envelope) {
  return sender_.send(envelope.to, encode(envelope));
}

}  // namespace mosskeel
