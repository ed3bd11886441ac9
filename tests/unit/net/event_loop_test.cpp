// Tests of the event loop: timers, posted functions, watched descriptors and deadlines.
#include <sys/epoll.h>

#include "net/deadline_timer.hpp"
#include "socket_peer.hpp"

using namespace mosskeel;

TEST_CASE("EventLoop runs timers in the order of their due times, and none that was cancelled") {
  EventLoop loop;
  std::string ran;
  loop.run_after(3ms, [&] {
    ran += "c";
    loop.stop();
  });
  loop.run_after(1ms, [&] { ran += "a"; });
  auto cancelled = loop.run_after(1ms, [&] { ran += "x"; });
  loop.run_after(2ms, [&] { ran += "b"; });
  loop.cancel(cancelled);
  for (int i = 0; i < 1000; ++i) {
    loop.cancel(loop.run_after(1ms, [&] { ran += "y"; }));
  }

  loop.run();

  CHECK(ran == "abc");
}

TEST_CASE("EventLoop runs every function that other threads post") {
  EventLoop loop;
  constexpr int kThreads = 4;
  constexpr int kPostsPerThread = 1000;
  int runs = 0;
  std::vector<std::jthread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      for (int i = 0; i < kPostsPerThread; ++i) {
        loop.post([&] { ++runs; });
      }
    });
  }

  CHECK(run_until(loop, [&] { return runs == kThreads * kPostsPerThread; }));
}

TEST_CASE("EventLoop does not call a descriptor that was unwatched in the same iteration") {
  EventLoop loop;
  int first_pair[2];
  int second_pair[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, first_pair) == 0);
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, second_pair) == 0);
  Fd owners[] = {Fd(first_pair[0]), Fd(first_pair[1]), Fd(second_pair[0]), Fd(second_pair[1])};
  int calls = 0;
  auto unwatch_both = [&](uint32_t) {
    ++calls;
    loop.unwatch(first_pair[0]);
    loop.unwatch(second_pair[0]);
  };
  loop.watch(first_pair[0], EPOLLIN, unwatch_both);
  loop.watch(second_pair[0], EPOLLIN, unwatch_both);
  REQUIRE(::send(first_pair[1], "x", 1, 0) == 1);
  REQUIRE(::send(second_pair[1], "x", 1, 0) == 1);

  run_iterations(loop);

  CHECK(calls == 1);
}

TEST_CASE("DeadlineTimer expires once, at the deadline that was set last") {
  EventLoop loop;
  int expirations = 0;
  MonotonicTime expired_at{};
  DeadlineTimer deadline(loop, [&] {
    ++expirations;
    expired_at = monotonic_now();
  });
  auto started_at = monotonic_now();

  SECTION("moved later") {
    deadline.set(5ms);
    deadline.set(30ms);
  }
  SECTION("moved earlier") {
    deadline.set(4000ms);
    deadline.set(30ms);
  }
  SECTION("set again after it was cleared") {
    deadline.set(5ms);
    deadline.clear();
    deadline.set(30ms);
  }

  REQUIRE(run_until(loop, [&] { return expirations > 0; }));
  run_iterations(loop, 50);

  CHECK(expirations == 1);
  CHECK(expired_at - started_at >= 30ms);
  CHECK(expired_at - started_at < 3000ms);
}

TEST_CASE("DeadlineTimer does not expire once it is cleared, cancelled or set to 0") {
  EventLoop loop;
  bool expired = false;
  DeadlineTimer deadline(loop, [&] { expired = true; });
  deadline.set(5ms);

  SECTION("cleared") {
    deadline.clear();
  }
  SECTION("cancelled") {
    deadline.cancel();
  }
  SECTION("set to 0") {
    deadline.set(0ms);
  }

  run_iterations(loop, 30);
  CHECK_FALSE(expired);
}
