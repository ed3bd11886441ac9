#pragma once
// A raw socket as the peer of a connection, and helpers to run an event loop.
#include <arpa/inet.h>
#include <sys/socket.h>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"
#include "unit/catch.hpp"

namespace mosskeel {

/// Runs the loop until the condition holds.
/// @return whether it holds; false after a timeout of 5 s.
template <class Condition>
bool run_until(EventLoop& loop, Condition holds) {
  auto deadline = monotonic_now() + 5000ms;
  std::function<void()> check = [&] {
    if (holds() || monotonic_now() > deadline) {
      loop.stop();
    } else {
      loop.run_after(1ms, check);
    }
  };
  loop.post(check);
  loop.run();
  return holds();
}

/// Runs the loop for about `count` iterations.
inline void run_iterations(EventLoop& loop, int count = 5) {
  run_until(loop, [&] { return count-- <= 0; });
}

/// A blocking socket that records what it receives.
struct SocketPeer {
  Fd socket;
  std::string received;
  /// Whether the peer has closed the connection.
  bool closed = false;
  /// Whether the peer closed it with a reset.
  bool reset = false;

  explicit SocketPeer(Fd accepted) : socket(std::move(accepted)) {}
  explicit SocketPeer(const Address& address) : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto endpoint = parse_endpoint(address);
    REQUIRE(::connect(socket.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) == 0);
  }

  void send(std::string_view bytes) {
    REQUIRE(::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }

  /// Receives all available bytes.
  /// @return whether the peer has closed the connection.
  bool receive() {
    static char buffer[65536];
    while (!closed) {
      auto count = ::recv(socket.get(), buffer, sizeof buffer, MSG_DONTWAIT);
      if (count > 0) {
        received.append(buffer, static_cast<size_t>(count));
        continue;
      }
      if (count < 0 && errno == EAGAIN) {
        break;
      }
      closed = true;
      reset = count < 0;
    }
    return closed;
  }

  bool has_received(std::string_view text) {
    receive();
    return received.find(text) != std::string::npos;
  }

  void close() { socket = Fd(); }

  /// Shuts down the write side in an orderly way.
  void shut_down_sending() { ::shutdown(socket.get(), SHUT_WR); }

  void close_with_reset() {
    reset_on_close(socket.get());
    close();
  }
};

/// Returns a non-blocking socket that listens on a port chosen by the system.
inline Fd listening_socket(int backlog = 100) {
  Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto endpoint = parse_endpoint("127.0.0.1:0");
  REQUIRE(::bind(socket.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) == 0);
  REQUIRE(::listen(socket.get(), backlog) == 0);
  return socket;
}

/// Counts the non-overlapping occurrences of `searched` in the text.
inline size_t count_occurrences(const std::string& text, std::string_view searched) {
  size_t count = 0;
  for (auto found = text.find(searched); found != std::string::npos;
       found = text.find(searched, found + searched.size())) {
    ++count;
  }
  return count;
}

}  // namespace mosskeel
