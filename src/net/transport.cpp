#include "net/transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "base/log.hpp"
#include "net/constants.hpp"
#include "net/wire.hpp"

namespace mosskeel {
namespace {

/// In milliseconds, like all of nng's durations. Bounds how long the receiving thread takes to notice a stop request.
constexpr nng_duration kReceiveTimeout = 200;
/// Larger than any message, but small enough that a corrupt length field wastes little memory.
constexpr size_t kMaxMessageBytes = 64u << 20;
/// Delay between two connection attempts to a peer; short, so that a restarted daemon is reached quickly.
constexpr nng_duration kMinReconnectDelay = 50;
constexpr nng_duration kMaxReconnectDelay = 200;
/// Only one in this many dropped messages is logged.
constexpr uint64_t kDropsPerLogLine = 1000;

/// Errors of nng that may pass: another process has the address, or the machine lacks something.
bool may_pass(int nng_error) {
  return nng_error == NNG_EADDRINUSE || nng_error == NNG_EADDRINVAL || nng_error == NNG_ENOMEM ||
         nng_error == NNG_ENOFILES;
}

Errors nng_errors(const Address& address, int nng_error) {
  return {{address, nng_strerror(nng_error), may_pass(nng_error) ? ErrorCode::unavailable : ErrorCode::io_error}};
}

std::string nng_url(const Address& address) {
  return "tcp://" + address;
}

}  // namespace

NngSocket::~NngSocket() {
  if (id_) {
    nng_close(nng_socket{id_});
  }
}

Result<std::unique_ptr<Transport>> Transport::open(const Address& address, MessageCallback on_message) {
  nng_socket socket;
  if (int error = nng_pull0_open(&socket)) {
    return nng_errors(address, error);
  }
  NngSocket receiver(socket.id);
  nng_socket_set_int(socket, NNG_OPT_RECVBUF, kMaxQueuedMessagesPerPeer);
  nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, kReceiveTimeout);
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  if (int error = nng_listen(socket, nng_url(address).c_str(), nullptr, 0)) {
    return nng_errors(address, error);
  }
  std::unique_ptr<Transport> transport(new Transport(std::move(receiver), std::move(on_message)));
  transport->thread_ = std::thread([self = transport.get()] { self->receive_messages(); });
  return transport;
}

Transport::Transport(NngSocket receiver, MessageCallback on_message)
    : receiver_(std::move(receiver)), on_message_(std::move(on_message)) {}

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

std::optional<uint32_t> Transport::peer_socket(const Address& peer) {
  std::lock_guard lock(mutex_);
  auto found = peers_.find(peer);
  if (found != peers_.end()) {
    return found->second.id();
  }
  nng_socket socket;
  if (nng_push0_open(&socket)) {
    return std::nullopt;
  }
  peers_.emplace(peer, NngSocket(socket.id));
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kMaxQueuedMessagesPerPeer);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectDelay);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectDelay);
  nng_dial(socket, nng_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  return socket.id;
}

bool Transport::send(const Envelope& envelope) {
  auto socket = peer_socket(envelope.to);
  if (!socket) {
    return false;
  }
  auto bytes = encode(envelope);
  if (nng_send(nng_socket{*socket}, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK)) {
    if (dropped_++ % kDropsPerLogLine == 0) {
      log_event(Event::unsent, "send queue full, dropped a message to " + envelope.to);
    }
    return false;
  }
  ++sent_;
  return true;
}

}  // namespace mosskeel
