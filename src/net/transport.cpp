#include "net/transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "base/log.hpp"
#include "net/constants.hpp"
#include "net/wire.hpp"

namespace mosskeel {

Socket::~Socket() {
  if (id_)
    nng_close(nng_socket{id_});
}

Result<std::unique_ptr<Transport>> Transport::open(const Address& at, Hear hear) {
  std::unique_ptr<Transport> p(new Transport);
  p->hear_ = std::move(hear);
  nng_socket s;
  if (int rc = nng_pull0_open(&s))
    return Errors{{at, nng_strerror(rc)}};
  p->in_ = std::make_unique<Socket>(s.id);
  nng_socket_set_int(s, NNG_OPT_RECVBUF, kMaxQueuedMessagesPerPeer);
  nng_socket_set_ms(s, NNG_OPT_RECVTIMEO, 200);
  nng_socket_set_size(s, NNG_OPT_RECVMAXSZ, 64u << 20);
  if (int rc = nng_listen(s, ("tcp://" + at).c_str(), nullptr, 0))
    return Errors{{at, nng_strerror(rc)}};
  p->thread_ = std::thread([q = p.get()] { q->listen(); });
  return p;
}

Transport::~Transport() {
  stop_ = true;
  if (thread_.joinable())
    thread_.join();
}

void Transport::listen() {
  while (!stop_) {
    void* b = nullptr;
    size_t n = 0;
    int rc = nng_recv(nng_socket{in_->id()}, &b, &n, NNG_FLAG_ALLOC);
    if (rc == NNG_ETIMEDOUT)
      continue;
    if (rc)
      return;
    auto e = decode({static_cast<char*>(b), n});
    nng_free(b, n);
    if (e) {
      hear_(std::move(*e), n);
    } else {
      ++foreign_;
      note(Event::foreign, std::to_string(n) + " bytes that are no message of ours");
    }
  }
}

bool Transport::send(const Envelope& e) {
  nng_socket s;
  {
    std::lock_guard l(m_);
    auto i = peers_.find(e.to);
    if (i == peers_.end()) {
      if (nng_push0_open(&s))
        return false;
      i = peers_.emplace(e.to, Socket(s.id)).first;
      nng_socket_set_int(s, NNG_OPT_SENDBUF, kMaxQueuedMessagesPerPeer);
      nng_socket_set_ms(s, NNG_OPT_RECONNMINT, 50);
      nng_socket_set_ms(s, NNG_OPT_RECONNMAXT, 200);
      nng_dial(s, ("tcp://" + e.to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    s = nng_socket{i->second.id()};
  }
  auto bytes = encode(e);
  if (nng_send(s, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK)) {
    if (dropped_++ % 1000 == 0)
      note(Event::unsent, "to " + e.to);
    return false;
  }
  ++sent_;
  return true;
}

}  // namespace mosskeel
