#include "net/message_sender.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <thread>

#include "base/log.hpp"

namespace mosskeel {
namespace {

/// Delay between two connection attempts to a peer; short, so that a restarted daemon is reached quickly. In
/// milliseconds, like all of nng's durations.
constexpr nng_duration kMinReconnectDelay = 50;
constexpr nng_duration kMaxReconnectDelay = 200;
/// How often, and at which interval, a connection that has ended is looked for in nng's list of free ones.
constexpr int kForgetRounds = 3;
constexpr Duration kForgetInterval = 1ms;
/// Only one in this many dropped messages is logged.
constexpr uint64_t kDropsPerLogLine = 1000;

/// Returns null if there is no memory for it.
nng_msg* make_message(const std::string& bytes) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) {
    return nullptr;
  }
  if (nng_msg_append(message, bytes.data(), bytes.size()) != 0) {
    nng_msg_free(message);
    return nullptr;
  }
  return message;
}

}  // namespace

MessageSender::Peer::~Peer() {
  if (operation) {
    nng_aio_stop(operation);
  }
  socket = NngSocket();
  if (operation) {
    nng_aio_free(operation);
  }
}

MessageSender::~MessageSender() {
  std::map<Address, std::unique_ptr<Peer>> peers;
  {
    std::lock_guard lock(mutex_);
    closing_ = true;
    peers.swap(peers_);
  }
  // Destroyed without the lock, which nng's callbacks take.
}

size_t MessageSender::queued_bytes() const {
  std::lock_guard lock(mutex_);
  return queues_.bytes();
}

bool MessageSender::send(const Address& to, std::string message) {
  auto* peer = open_peer(to);
  if (!peer) {
    count_dropped(1, to);
    return false;
  }
  ++sent_;
  if (send_now(*peer, message)) {
    return true;
  }
  size_t discarded = 0;
  {
    std::lock_guard lock(mutex_);
    discarded = queues_.push(to, std::move(message));
  }
  count_dropped(discarded, to);
  send_next(*peer);
  return true;
}

MessageSender::Peer* MessageSender::open_peer(const Address& address) {
  std::unique_lock lock(mutex_);
  auto found = peers_.find(address);
  if (found != peers_.end()) {
    return found->second.get();
  }
  auto peer = std::make_unique<Peer>(*this, address);
  if (!open_socket(*peer)) {
    return nullptr;
  }
  auto* opened = peer.get();
  peers_.emplace(address, std::move(peer));
  lock.unlock();
  // The last step and without the lock, since callbacks, which take it, come from now on.
  nng_dial(nng_socket{opened->socket.id()}, nng_url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  return opened;
}

bool MessageSender::open_socket(Peer& peer) {
  nng_socket socket;
  if (nng_push0_open(&socket) != 0) {
    return false;
  }
  peer.socket = NngSocket(socket.id);
  auto on_sent = [](void* argument) {
    auto& sent_peer = *static_cast<Peer*>(argument);
    sent_peer.sender.on_sent(sent_peer);
  };
  if (nng_aio_alloc(&peer.operation, on_sent, &peer) != 0) {
    peer.operation = nullptr;
    return false;
  }
  auto on_pipe = [](nng_pipe, nng_pipe_ev event, void* argument) {
    auto& changed_peer = *static_cast<Peer*>(argument);
    if (event == NNG_PIPE_EV_ADD_POST) {
      changed_peer.sender.on_connected(changed_peer);
    } else {
      changed_peer.sender.on_disconnected(changed_peer);
    }
  };
  nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, on_pipe, &peer);
  nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, on_pipe, &peer);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectDelay);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectDelay);
  return true;
}

bool MessageSender::send_now(Peer& peer, const std::string& message) {
  {
    std::lock_guard lock(mutex_);
    bool is_next = peer.connected && !peer.sending && queues_.is_empty(peer.address);
    if (!is_next) {
      return false;
    }
  }
  // nng does not change the bytes that it is given for a copy.
  auto* bytes = const_cast<char*>(message.data());
  return nng_send(nng_socket{peer.socket.id()}, bytes, message.size(), NNG_FLAG_NONBLOCK) == 0;
}

void MessageSender::send_next(Peer& peer) {
  std::optional<std::string> bytes;
  {
    std::lock_guard lock(mutex_);
    if (closing_ || !peer.connected || peer.sending) {
      return;
    }
    bytes = queues_.pop(peer.address);
    if (!bytes) {
      return;
    }
    peer.sending = true;
  }
  auto* message = make_message(*bytes);
  bytes.reset();
  if (!message) {
    count_dropped(1, peer.address);
    std::lock_guard lock(mutex_);
    peer.sending = false;
    return;
  }
  nng_aio_set_msg(peer.operation, message);
  nng_send_aio(nng_socket{peer.socket.id()}, peer.operation);
}

void MessageSender::on_sent(Peer& peer) {
  if (nng_aio_result(peer.operation) != 0) {
    nng_msg_free(nng_aio_get_msg(peer.operation));
    count_dropped(1, peer.address);
  }
  {
    std::lock_guard lock(mutex_);
    peer.sending = false;
  }
  send_next(peer);
}

void MessageSender::on_connected(Peer& peer) {
  {
    std::lock_guard lock(mutex_);
    peer.connected = true;
  }
  send_next(peer);
}

/// A message that nng holds for the next connection would be out of the queue's bounds, and old by then.
void MessageSender::on_disconnected(Peer& peer) {
  {
    std::lock_guard lock(mutex_);
    peer.connected = false;
  }
  nng_aio_cancel(peer.operation);
  forget_closed_connection(peer);
}

/// nng 1.5 puts a connection back into its list of free ones if a send on it completes just after it was closed. It
/// then frees the connection, and later sends on it. Here it is not freed yet: a message takes it out of the list, and
/// fails on it. The next connection is made only after this notice, so that the message reaches nobody.
void MessageSender::forget_closed_connection(const Peer& peer) {
  for (int round = 0; round < kForgetRounds; ++round) {
    std::this_thread::sleep_for(kForgetInterval);
    char byte = 0;
    nng_send(nng_socket{peer.socket.id()}, &byte, sizeof byte, NNG_FLAG_NONBLOCK);
  }
}

void MessageSender::count_dropped(size_t messages, const Address& peer) {
  if (messages == 0) {
    return;
  }
  auto before = dropped_.fetch_add(messages);
  bool is_logged = before == 0 || before / kDropsPerLogLine != (before + messages) / kDropsPerLogLine;
  if (is_logged) {
    log_event(Event::unsent, "send queue full, dropped a message to " + peer);
  }
}

}  // namespace mosskeel
