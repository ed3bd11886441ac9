#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/endpoint.hpp"
#include "net/upstream_connection.hpp"

namespace mosskeel {
namespace {

constexpr size_t one_read = 16 << 10, most_idle = 64;
constexpr int unacknowledged_ms = 3000;

bool silent(int fd) {
  char c;
  return ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool spell(const UpstreamClient::Request& a, std::string& out) {
  auto plain = [](char c) {
    return c > 0x20 && c < 0x7f;
  };
  if (a.method.empty() || a.target.empty() || !std::all_of(a.method.begin(), a.method.end(), plain) ||
      !std::all_of(a.target.begin(), a.target.end(), plain))
    return false;
  out = a.method + " " + a.target + " HTTP/1.1\r\n";
  for (auto& x : a.fields) {
    if (!writable(x))
      return false;
    if (same_word(x.first, "Content-Length") || same_word(x.first, "Transfer-Encoding"))
      continue;
    out += x.first + ": " + x.second + "\r\n";
  }
  if (!a.body.empty() || a.method == "POST" || a.method == "PUT" || a.method == "PATCH")
    out += "Content-Length: " + std::to_string(a.body.size()) + "\r\n";
  out += "\r\n";
  out += a.body;
  return true;
}

}  // namespace

UpstreamClient::UpstreamClient(EventLoop& loop, Callbacks events)
    : loop_(loop), events_(std::move(events)), buffer_(one_read), self_(std::make_shared<UpstreamClient*>(this)) {}

UpstreamClient::~UpstreamClient() {
  while (!connections_.empty())
    close(Held(connections_.begin()->second));
}

uint64_t UpstreamClient::send_request(Request a) {
  auto id = ++last_id_;
  std::string out, wrong;
  Held c;
  if (!spell(a, out))
    wrong = "request malformed";
  if (wrong.empty() && !a.new_connection)
    c = kept(a.to, a.max_idle_ms);
  bool reused = c != nullptr;
  if (!c)
    c = std::make_shared<Connection>();
  c->to = a.to;
  c->id = id;
  c->out = std::move(out);
  c->head_asked = a.method == "HEAD";
  c->reusable = !names_token(a.fields, "Connection", "close");
  c->previous_tag = std::exchange(c->tag, std::move(a.tag));
  c->skipping = c->handed = false;
  asks_.emplace(id, c);
  if (reused) {
    send(c);
    return id;
  }
  if (wrong.empty())
    wrong = open(c, a.connect_ms);
  if (!wrong.empty())
    loop_.post([this, id, wrong, alive = std::weak_ptr(self_)] {
      if (!alive.lock())
        return;
      if (auto it = asks_.find(id); it != asks_.end())
        lose(Held(it->second), wrong);
    });
  return id;
}

UpstreamClient::Held UpstreamClient::kept(const Address& to, Millis max_idle_ms) {
  auto it = idle_.find(to);
  while (it != idle_.end()) {
    Held c = it->second.back();
    if (monotonic_ms() - c->idle_since > max_idle_ms)
      return nullptr;
    if (monotonic_ms() >= c->keep_until || !silent(c->fd.get())) {
      close(c);
      it = idle_.find(to);
      continue;
    }
    it->second.pop_back();
    if (it->second.empty())
      idle_.erase(it);
    if (c->timer)
      loop_.cancel(std::exchange(c->timer, 0));
    c->phase = Connection::Phase::asking;
    return c;
  }
  return nullptr;
}

std::string UpstreamClient::open(const Held& c, Millis connect_ms) {
  auto e = parse_endpoint(c->to);
  if (!e)
    return "not an address: " + c->to;
  Fd fd(::socket(e->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd)
    return std::string("socket: ") + std::strerror(errno);
  set_socket_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
  set_socket_option(fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
  ++opened_;
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&e->storage), e->length) != 0 && errno != EINPROGRESS)
    return std::string("connect: ") + std::strerror(errno);
  c->fd = std::move(fd);
  connections_.emplace(c.get(), c);
  interest(c);
  c->connect_until = monotonic_ms() + connect_ms;
  c->timer = loop_.run_after(connect_ms, [this, c = c.get()] {
    c->timer = 0;
    lose(Held(connections_.at(c)), "connect: no answer in time");
  });
  return {};
}

void UpstreamClient::cancel(uint64_t id) {
  if (auto it = asks_.find(id); it != asks_.end())
    close(Held(it->second));
}

void UpstreamClient::skip_response(uint64_t id) {
  auto it = asks_.find(id);
  if (it == asks_.end())
    return;
  it->second->skipping = true;
}

void UpstreamClient::pause(uint64_t id, bool on) {
  auto it = asks_.find(id);
  if (it == asks_.end())
    return;
  it->second->paused = on;
  interest(it->second);
}

void UpstreamClient::forget(const Address& a) {
  std::vector<Held> idle;
  for (auto& [_, c] : connections_) {
    if (c->to != a)
      continue;
    c->reusable = false;
    if (c->phase == Connection::Phase::idle)
      idle.push_back(c);
  }
  for (auto& c : idle)
    close(c);
}

size_t UpstreamClient::idle() const {
  size_t n = 0;
  for (auto& [_, q] : idle_)
    n += q.size();
  return n;
}

void UpstreamClient::keep(const Held& c) {
  if (!c->reusable || c->keep_ms <= 0)
    return close(c);
  c->phase = Connection::Phase::idle;
  c->headed = c->bodiless = c->chunked = c->paused = c->handed = false;
  c->left.reset();
  c->idle_since = monotonic_ms();
  c->keep_until = c->idle_since + c->keep_ms;
  std::string().swap(c->in), std::string().swap(c->out), c->sent = 0;
  auto& q = idle_[c->to];
  q.push_back(c);
  interest(c);
  c->timer = loop_.run_after(c->keep_ms, [this, c = c.get()] {
    c->timer = 0;
    close(Held(connections_.at(c)));
  });
  if (q.size() > most_idle)
    close(Held(q.front()));
}

void UpstreamClient::lose(const Held& c, std::string reason) {
  auto id = c->id;
  auto how = c->handed ? Delivery::possibly_sent : Delivery::not_sent;
  close(c);
  if (id && events_.lost)
    events_.lost(id, how, std::move(reason));
}

void UpstreamClient::close(const Held& c) {
  if (std::exchange(c->phase, Connection::Phase::gone) == Connection::Phase::gone)
    return;
  if (auto it = idle_.find(c->to); it != idle_.end()) {
    std::erase(it->second, c);
    if (it->second.empty())
      idle_.erase(it);
  }
  if (c->id)
    asks_.erase(std::exchange(c->id, 0));
  if (c->timer)
    loop_.cancel(std::exchange(c->timer, 0));
  if (c->fd)
    loop_.unwatch(c->fd.get());
  c->fd = Fd();
  std::string().swap(c->in), std::string().swap(c->out);
  connections_.erase(c.get());
}

}  // namespace mosskeel
