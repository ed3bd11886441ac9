#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "net/endpoint.hpp"
#include "net/http_server_connection.hpp"

namespace mosskeel {
namespace {
constexpr size_t one_read = 64 << 10;
constexpr Millis parting_ms = 1000, short_of_descriptors_ms = 100;
}  // namespace

Result<std::unique_ptr<HttpListener>> HttpListener::open(EventLoop& loop, const Address& at, Callbacks events,
                                                         int send_buffer) {
  auto e = parse_endpoint(at);
  if (!e)
    return Errors{{at, "not an address to listen at"}};
  Fd fd(::socket(e->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd || !set_socket_option(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1) ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&e->storage), e->length) != 0 || ::listen(fd.get(), 1024) != 0)
    return Errors{{at, std::string("cannot listen: ") + std::strerror(errno)}};
  if (send_buffer)
    set_socket_option(fd.get(), SOL_SOCKET, SO_SNDBUF, send_buffer);
  return std::unique_ptr<HttpListener>(new HttpListener(loop, std::move(events), std::move(fd)));
}

HttpListener::HttpListener(EventLoop& loop, Callbacks events, Fd listening)
    : loop_(loop),
      events_(std::move(events)),
      listening_(std::move(listening)),
      buffer_(one_read),
      self_(std::make_shared<HttpListener*>(this)) {
  loop_.watch(listening_.get(), EPOLLIN, [this](uint32_t) { accept(); });
}

HttpListener::~HttpListener() {
  if (listening_)
    loop_.unwatch(listening_.get());
  while (!sessions_.empty())
    close(Held(sessions_.begin()->second));
}

Address HttpListener::local_address() const {
  return bound_address(listening_.get());
}

void HttpListener::accept() {
  while (true) {
    Fd fd(::accept4(listening_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd && (errno == EINTR || errno == ECONNABORTED))
      continue;
    if (!fd && errno != EAGAIN) {
      loop_.watch(listening_.get(), 0);
      loop_.run_after(short_of_descriptors_ms, [this, alive = std::weak_ptr(self_)] {
        if (alive.lock() && listening_)
          loop_.watch(listening_.get(), EPOLLIN);
      });
    }
    if (!fd)
      return;
    if (sessions_.size() >= limits_.max_connections)
      continue;
    set_socket_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    auto s = std::make_shared<Session>();
    s->fd = std::move(fd);
    s->armed = EPOLLIN;
    sessions_.emplace(s.get(), s);
    loop_.watch(s->fd.get(), s->armed, [this, s = s.get()](uint32_t events) {
      if (auto it = sessions_.find(s); it != sessions_.end())
        ready(Held(it->second), events);
    });
    due(s, limits_.idle_timeout_ms);
  }
}

void HttpListener::ready(const Held& s, uint32_t events) {
  using P = Session::Phase;
  if (events & (EPOLLERR | EPOLLHUP))
    return lose(s);
  if (s->phase == P::running && (events & EPOLLRDHUP))
    return lose(s);
  if (s->phase == P::parting_unread && (events & EPOLLRDHUP))
    return close(s);
  if (events & EPOLLOUT)
    flush(s);
  if ((events & EPOLLIN) && (s->phase == P::head || s->phase == P::body || s->phase == P::parting))
    receive(s);
}

void HttpListener::receive(const Held& s) {
  auto n = ::recv(s->fd.get(), buffer_.data(), buffer_.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    return close(s);
  if (s->phase == Session::Phase::parting)
    return;
  s->in.append(buffer_.data(), static_cast<size_t>(n));
  pump(s);
}

void HttpListener::interest(const Held& s) {
  using P = Session::Phase;
  if (s->phase == P::gone || s->marked)
    return;
  uint32_t want = 0;
  if (s->unsent())
    want |= EPOLLOUT;
  if (s->phase == P::running || s->phase == P::parting_unread)
    want |= EPOLLRDHUP;
  if (s->phase == P::head || s->phase == P::body || s->phase == P::parting)
    want |= EPOLLIN;
  if (want != s->armed)
    loop_.watch(s->fd.get(), s->armed = want);
}

void HttpListener::next(const Held& s) {
  if (!s->keep)
    return part(s);
  if (draining_ && s->in.empty())
    return part_unread(s);
  s->phase = Session::Phase::head;
  s->headed = s->bodiless = s->in_chunks = s->above = false;
  s->answer_left.reset();
  due(s, limits_.idle_timeout_ms);
  pump(s);
}

void HttpListener::part(const Held& s) {
  s->phase = Session::Phase::parting;
  std::string().swap(s->in);
  ::shutdown(s->fd.get(), SHUT_WR);
  due(s, parting_ms);
  interest(s);
}

void HttpListener::part_unread(const Held& s) {
  s->phase = Session::Phase::parting_unread;
  ::shutdown(s->fd.get(), SHUT_WR);
  due(s, parting_ms);
  interest(s);
}

void HttpListener::lose(const Held& s) {
  auto id = s->phase == Session::Phase::running ? s->id : 0;
  close(s);
  if (id && events_.left)
    events_.left(id);
}

void HttpListener::close(const Held& s) {
  if (std::exchange(s->phase, Session::Phase::gone) == Session::Phase::gone)
    return;
  if (s->id)
    exchanges_.erase(s->id);
  if (s->timer)
    loop_.cancel(s->timer);
  loop_.unwatch(s->fd.get());
  s->fd = Fd();
  std::string().swap(s->in), std::string().swap(s->out), s->sent = 0;
  sessions_.erase(s.get());
}

void HttpListener::reset(const Held& s) {
  linger at_once{1, 0};
  ::setsockopt(s->fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close(s);
}

void HttpListener::due(const Held& s, Millis ms) {
  s->deadline = ms ? monotonic_ms() + ms : 0;
  if (!ms || (s->timer && s->timer_at <= s->deadline))
    return;
  if (s->timer)
    loop_.cancel(s->timer);
  arm(s, ms);
}

void HttpListener::arm(const Held& s, Millis ms) {
  s->timer_at = monotonic_ms() + ms;
  s->timer = loop_.run_after(ms, [this, s = s.get()] {
    if (auto it = sessions_.find(s); it != sessions_.end())
      expire(Held(it->second));
  });
}

void HttpListener::expire(const Held& s) {
  using P = Session::Phase;
  s->timer = 0;
  if (!s->deadline)
    return;
  if (auto left = s->deadline - monotonic_ms(); left > 0)
    return arm(s, left);
  if (s->phase == P::head && s->in.empty())
    return part_unread(s);
  if (s->phase == P::head || s->phase == P::body)
    return refuse(s, 408);
  if (s->phase == P::over || s->phase == P::parting || s->phase == P::parting_unread)
    close(s);
}

void HttpListener::close_after_responses() {
  closing_ = true;
}

void HttpListener::drain() {
  if (std::exchange(draining_, true))
    return;
  closing_ = true;
  loop_.unwatch(listening_.get());
  listening_ = Fd();
  std::vector<Held> idle;
  for (auto& [_, s] : sessions_)
    if (s->phase == Session::Phase::head && s->in.empty())
      idle.push_back(s);
  for (auto& s : idle)
    part_unread(s);
}

HttpListener::Held HttpListener::held(uint64_t id) const {
  auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second;
}

size_t HttpListener::unsent_bytes(uint64_t id) const {
  auto s = held(id);
  return s ? s->unsent() : 0;
}

}  // namespace mosskeel
