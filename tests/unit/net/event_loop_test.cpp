#include <sys/epoll.h>

#include "socket_peer.hpp"

using namespace mosskeel;

TEST_CASE("timers run in order, cancelled ones never") {
  EventLoop l;
  std::string s;
  l.run_after(3, [&] { s += "c", l.stop(); });
  l.run_after(1, [&] { s += "a"; });
  auto no = l.run_after(1, [&] { s += "x"; });
  l.run_after(2, [&] { s += "b"; });
  l.cancel(no);
  for (int i = 0; i < 1000; ++i)
    l.cancel(l.run_after(1, [&] { s += "y"; }));
  l.run();
  CHECK(s == "abc");
}

TEST_CASE("functions posted by other threads all run") {
  EventLoop l;
  int n = 0;
  std::vector<std::jthread> ts;
  for (int t = 0; t < 4; ++t)
    ts.emplace_back([&] {
      for (int i = 0; i < 1000; ++i)
        l.post([&] { ++n; });
    });
  CHECK(until(l, [&] { return n == 4000; }));
}

TEST_CASE("a descriptor forgotten in the same batch is not called") {
  EventLoop l;
  int a[2], b[2], calls = 0;
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, a) == 0);
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, b) == 0);
  Fd fds[] = {Fd(a[0]), Fd(a[1]), Fd(b[0]), Fd(b[1])};
  auto both = [&](uint32_t) {
    ++calls, l.unwatch(a[0]), l.unwatch(b[0]);
  };
  l.watch(a[0], EPOLLIN, both);
  l.watch(b[0], EPOLLIN, both);
  REQUIRE(::send(a[1], "x", 1, 0) == 1);
  REQUIRE(::send(b[1], "x", 1, 0) == 1);
  turns(l);
  CHECK(calls == 1);
}
