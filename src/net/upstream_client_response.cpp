#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/endpoint.hpp"
#include "net/upstream_connection.hpp"

namespace mosskeel {
namespace {

constexpr size_t longest_head = 64 << 10;
constexpr Millis kept_unless_told_ms = 4000, safety_ms = 1000, longest_kept_ms = 600000;

Millis keep_alive(const HeaderFields& f) {
  auto said = header_value(f, "Keep-Alive");
  for (auto rest = said; !rest.empty();) {
    auto comma = std::min(rest.find(','), rest.size());
    auto word = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    word.remove_prefix(std::min(word.find_first_not_of(" \t"), word.size()));
    auto is = word.find('=');
    if (is == std::string_view::npos || !same_word(word.substr(0, is), "timeout"))
      continue;
    auto digits = word.substr(is + 1);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    if (digits.empty())
      return 0;
    return digits.size() > 6
               ? longest_kept_ms
               : std::min(std::stoll(std::string(digits)) * 1000 - safety_ms, static_cast<long long>(longest_kept_ms));
  }
  return kept_unless_told_ms;
}

}  // namespace

void UpstreamClient::interest(const Held& c) {
  using P = Connection::Phase;
  if (c->phase == P::gone || !c->fd)
    return;
  uint32_t want = EPOLLOUT;
  if (c->phase == P::idle)
    want = EPOLLIN | EPOLLRDHUP;
  if (c->phase == P::asking) {
    want = 0;
    if (!c->paused)
      want |= EPOLLIN;
    if (c->sent < c->out.size())
      want |= EPOLLOUT;
  }
  if (!c->watched) {
    c->watched = true;
    loop_.watch(c->fd.get(), want, [this, c = c.get()](uint32_t events) {
      if (auto it = connections_.find(c); it != connections_.end())
        ready(Held(it->second), events);
    });
  } else if (want != c->armed) {
    loop_.watch(c->fd.get(), want);
  }
  c->armed = want;
}

void UpstreamClient::ready(const Held& c, uint32_t events) {
  using P = Connection::Phase;
  if (c->phase == P::idle)
    return close(c);
  if (c->phase == P::connecting)
    return connected(c);
  if (c->paused && (events & (EPOLLERR | EPOLLHUP))) {
    loop_.unwatch(c->fd.get());
    c->watched = false;
    return;
  }
  if (events & EPOLLOUT)
    send(c);
  if (c->phase == P::asking && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    receive(c);
}

void UpstreamClient::connected(const Held& c) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(c->fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error)
    return lose(c, std::string("connect: ") + std::strerror(error));
  if (monotonic_ms() > c->connect_until)
    return lose(c, "connect: woken too late");
  if (c->timer)
    loop_.cancel(std::exchange(c->timer, 0));
  char c0;
  if (::recv(c->fd.get(), &c0, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN)
    return lose(c, "closed, or spoke before it was asked");
  c->phase = Connection::Phase::asking;
  send(c);
}

void UpstreamClient::send(const Held& c) {
  while (c->sent < c->out.size()) {
    auto n = ::send(c->fd.get(), c->out.data() + c->sent, c->out.size() - c->sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno == EAGAIN)
      break;
    if (n <= 0) {
      c->reusable = false;
      c->sent = c->out.size();
      break;
    }
    c->handed = true;
    c->sent += static_cast<size_t>(n);
  }
  if (c->sent == c->out.size())
    std::string().swap(c->out), c->sent = 0;
  interest(c);
}

void UpstreamClient::receive(const Held& c) {
  auto n = ::recv(c->fd.get(), buffer_.data(), buffer_.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    return lose(c, std::string("receive: ") + std::strerror(errno));
  if (n == 0)
    return lose(c, "closed before the answer was whole");
  c->in.append(buffer_.data(), static_cast<size_t>(n));
  while (c->phase == Connection::Phase::asking && read(c)) {}
}

bool UpstreamClient::read(const Held& c) {
  return c->headed ? read_body(c) : read_head(c);
}

bool UpstreamClient::read_head(const Held& c) {
  auto extent = scan_head(c->in, c->scanned);
  if (extent == HeadScan::malformed || c->scanned > longest_head)
    return lose(c, "head malformed or too long"), false;
  if (extent == HeadScan::incomplete)
    return false;
  auto h = parse_response_head(std::string_view(c->in).substr(0, c->scanned));
  c->in.erase(0, std::exchange(c->scanned, 0));
  if (h.fault)
    return lose(c, "head: " + h.reason), false;
  if (h.status == 101)
    return lose(c, "switched protocols unasked"), false;
  if (h.status < 200)
    return true;
  c->headed = true;
  c->bodiless = c->head_asked || h.status == 204 || h.status == 304;
  c->chunked = h.chunked;
  c->left = h.content_length;
  c->chunks = Chunks();
  if (h.close)
    c->reusable = false;
  c->keep_ms = keep_alive(h.fields);
  if (events_.head)
    events_.head(c->id, {h.status, std::move(h.fields), h.chunked, h.content_length, c->previous_tag});
  return c->phase == Connection::Phase::asking;
}

bool UpstreamClient::read_body(const Held& c) {
  if (c->bodiless)
    return finish(c);
  std::string piece;
  size_t taken = c->in.size();
  if (c->chunked) {
    taken = c->chunks.feed(c->in, piece);
  } else {
    taken = std::min<uint64_t>(taken, c->left.value_or(taken));
    piece = taken == c->in.size() ? std::exchange(c->in, {}) : c->in.substr(0, taken);
    if (c->left)
      *c->left -= taken;
  }
  c->in.erase(0, std::min(taken, c->in.size()));
  if (!piece.empty() && !c->skipping && events_.bytes)
    events_.bytes(c->id, piece);
  if (c->phase != Connection::Phase::asking)
    return false;
  if (c->chunked && c->chunks.malformed())
    return lose(c, "chunk malformed"), false;
  if (c->chunked ? c->chunks.done() : c->left && *c->left == 0)
    return finish(c);
  return false;
}

/// The answer is whole; true where the next one is to be read at once.
bool UpstreamClient::finish(const Held& c) {
  if (std::exchange(c->skipping, false)) {
    c->headed = false;
    return true;
  }
  auto id = std::exchange(c->id, 0);
  asks_.erase(id);
  if (c->in.empty() && c->out.empty())
    keep(c);
  else
    close(c);
  if (events_.end)
    events_.end(id);
  return false;
}

}  // namespace mosskeel
