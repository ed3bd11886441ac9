#include <sys/epoll.h>
#include <sys/socket.h>

#include "net/endpoint.hpp"
#include "net/http_head.hpp"
#include "platform_stub/replicas.hpp"

namespace mosskeel::standin {

Rogue::Rogue(World& w, Listed l)
    : listed(std::move(l)), w_(w), listening_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  auto e = parse_endpoint(listed.at);
  int on = 1;
  ::setsockopt(listening_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!e || ::bind(listening_.get(), reinterpret_cast<sockaddr*>(&e->storage), e->length) ||
      ::listen(listening_.get(), 100)) {
    fprintf(stderr, "standin: cannot listen at %s\n", listed.at.c_str());
    exit(2);
  }
  w_.loop.watch(listening_.get(), EPOLLIN, [this](uint32_t) { accept(); });
}

Rogue::~Rogue() {
  w_.loop.unwatch(listening_.get());
  for (auto& [fd, s] : sessions_)
    w_.loop.unwatch(fd);
}

void Rogue::accept() {
  for (;;) {
    int fd = ::accept4(listening_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0)
      return;
    sessions_[fd].fd = Fd(fd);
    w_.loop.watch(fd, EPOLLIN, [this, fd](uint32_t) { receive(fd); });
  }
}

void Rogue::receive(int fd) {
  auto& s = sessions_.at(fd);
  char b[16384];
  auto n = ::recv(fd, b, sizeof b, 0);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0) {
    w_.loop.unwatch(fd);
    sessions_.erase(fd);
    return;
  }
  s.in.append(b, static_cast<size_t>(n));
  size_t scanned = 0;
  if (scan_head(s.in, scanned) != HeadScan::complete)
    return;
  auto h = parse_request_head(std::string_view(s.in).substr(0, scanned));
  if (s.in.size() < scanned + h.content_length.value_or(0))
    return;
  HttpRequest r{h.method, h.target, "", h.fields, s.in.substr(scanned, h.content_length.value_or(0))};
  s.in.clear();
  answer(fd, r);
}

void Rogue::answer(int fd, const HttpRequest& r) {
  auto a = std::string(header_value(r.fields, "Mosskeel-Attempt-Id"));
  w_.book.ran(a, listed.service, r);
  auto seal = w_.name(), body = "rogue for " + a;
  auto whole = [&](const std::string& attempt, const std::string& stamp) {
    return "HTTP/1.1 200 OK\r\nMosskeel-Attempt-Id: " + attempt + (stamp.empty() ? "" : "\r\nMosskeel-Server-Seal: ") +
           stamp + "\r\nKeep-Alive: timeout=1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  auto say = [&](const std::string& s) {
    (void)!::send(fd, s.data(), s.size(), MSG_NOSIGNAL);
  };
  auto close = [&] {
    w_.loop.unwatch(fd);
    sessions_.erase(fd);
  };
  auto proper = whole(a, seal), other = whole("f" + a, seal);
  switch (turn_++ % 8) {
    case 0:
      w_.book.made(a, seal, body);
      return say(proper + other);
    case 1:
      return say(other);
    case 2:
      return say("this is no answer\r\n\r\n");
    case 3:
      say(proper.substr(0, proper.size() - 5));
      return close();
    case 4:
      return close();
    case 5:
      w_.book.made(a, seal, body);
      say(proper);
      w_.loop.run_after(30ms, [this, fd, other] {
        if (sessions_.count(fd))
          (void)!::send(fd, other.data(), other.size(), MSG_NOSIGNAL);
      });
      return;
    case 6:
      return say(whole(a, ""));
    default:
      w_.book.made(a, seal, body);
      return say(proper);
  }
}

}  // namespace mosskeel::standin
