#pragma once
// A raw socket of the other side, and a loop driven until something holds.
#include <arpa/inet.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"

namespace mosskeel {

/// Runs the loop until `holds`; false after 5 s.
template <class F>
bool until(EventLoop& loop, F holds) {
  auto end = monotonic_ms() + 5000;
  std::function<void()> look = [&] {
    if (holds() || monotonic_ms() > end)
      loop.stop();
    else
      loop.run_after(1, look);
  };
  loop.post(look);
  loop.run();
  return holds();
}

/// Runs the loop for some of its own turns.
inline void turns(EventLoop& loop, int n = 5) {
  until(loop, [&] { return n-- <= 0; });
}

struct Peer {
  Fd fd;
  std::string got;
  bool closed = false, reset = false;
  explicit Peer(Fd f) : fd(std::move(f)) {}
  explicit Peer(const Address& to) : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto e = parse_endpoint(to);
    REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&e->storage), e->length) == 0);
  }
  void say(std::string_view s) {
    REQUIRE(::send(fd.get(), s.data(), s.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(s.size()));
  }
  /// Takes what is there; true once the other side has closed.
  bool look() {
    static char b[65536];
    while (!closed) {
      auto n = ::recv(fd.get(), b, sizeof b, MSG_DONTWAIT);
      if (n > 0)
        got.append(b, static_cast<size_t>(n));
      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        closed = true, reset = n < 0;
    }
    return closed;
  }
  bool has(std::string_view s) { return look(), got.find(s) != std::string::npos; }
  void close() { fd = Fd(); }
  void break_off() {
    linger l{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close();
  }
};

inline size_t count(const std::string& s, std::string_view what) {
  size_t n = 0;
  for (size_t at = 0; (at = s.find(what, at)) != std::string::npos; at += what.size())
    ++n;
  return n;
}

}  // namespace mosskeel
