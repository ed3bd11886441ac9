// A slow caller holds its replica's answer back.
#include <sys/resource.h>

#include <fstream>

#include "net/backpressure.hpp"
#include "test_server.hpp"

using namespace mosskeel;

namespace {

constexpr size_t answer_bytes = 1 << 20;
constexpr int socket_buffer = 32 << 10;

/// Resident memory of this process.
size_t resident_bytes() {
  size_t all = 0, resident = 0;
  std::ifstream("/proc/self/statm") >> all >> resident;
  return resident * 4096;
}

/// A replica that gives each request a large answer, and a relay from callers to it.
struct SlowCallers {
  TestServer replica{socket_buffer}, front{socket_buffer};
  std::map<uint64_t, uint64_t> upstream_of, exchange_of;
  size_t ended = 0;
  UpstreamClient out{front.loop,
                     {[this](uint64_t u, UpstreamClient::ResponseHead&& a) {
                        front.in->send_head(exchange_of.at(u), a.status, {}, a.content_length);
                      },
                      [this](uint64_t u, std::string_view s) {
                        front.in->send_body(exchange_of.at(u), s);
                        pressure->on_forwarded(exchange_of.at(u), u);
                      },
                      [this](uint64_t u) {
                        pressure->on_finished(exchange_of.at(u));
                        front.in->finish(exchange_of.at(u));
                        ++ended;
                      },
                      [](uint64_t, UpstreamClient::Delivery, std::string) {
                      }}};
  std::unique_ptr<Backpressure> pressure;
  std::thread other;

  SlowCallers() {
    pressure = std::make_unique<Backpressure>(*front.in, out);
    front.answer = [this](uint64_t id) {
      auto u = out.send_request({replica.in->local_address(), "GET", "/", {{"Host", "r"}}, "", true});
      upstream_of[id] = u, exchange_of[u] = id;
    };
    front.on_drained = [this](uint64_t id) {
      pressure->on_drained(id);
    };
  }
  /// Lets the replica stream on a thread of its own, sending only what is taken.
  void serve() {
    replica.answer = [this](uint64_t id) {
      replica.in->send_head(id, 200, {}, answer_bytes);
      replica.in->send_body(id, std::string(answer_bytes, 'x'));
      replica.in->finish(id);
    };
    other = std::thread([this] { replica.loop.run(); });
  }
  ~SlowCallers() {
    replica.loop.stop();
    if (other.joinable())
      other.join();
  }
  size_t most_unsent() const {
    size_t most = 0;
    for (auto& [id, u] : upstream_of)
      most = std::max(most, front.in->unsent_bytes(id));
    return most;
  }
};

}  // namespace

TEST_CASE("a caller that does not read holds its answer back within the bound, and gets all of it later") {
  SlowCallers s;
  s.serve();
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 20; ++i) {
    peers.push_back(std::make_unique<Peer>(s.front.in->local_address()));
    int small = 32 << 10;
    ::setsockopt(peers.back()->fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    peers.back()->say(get_close);
  }
  REQUIRE(until(s.front.loop, [&] { return s.pressure->paused() == peers.size(); }));
  turns(s.front.loop, 50);
  CHECK(s.most_unsent() <= HttpListener::high_watermark + (16 << 10));
  CHECK(s.ended == 0);
  REQUIRE(
      until(s.front.loop, [&] { return std::all_of(peers.begin(), peers.end(), [](auto& p) { return p->look(); }); }));
  for (auto& p : peers)
    CHECK(count(p->got, "x") == answer_bytes);
  CHECK(s.pressure->paused() == 0);
}

TEST_CASE("a thousand slow streams are held in bounded memory", "[.memory]") {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  SlowCallers s;
  HttpListenerLimits limits;
  limits.max_connections = 2000;
  s.front.in->set_limits(limits);
  s.replica.answer = nullptr;
  std::vector<std::unique_ptr<Peer>> peers;
  std::vector<uint64_t> asked;
  for (int i = 0; i < 1000; ++i) {
    peers.push_back(std::make_unique<Peer>(s.front.in->local_address()));
    int small = 32 << 10;
    ::setsockopt(peers.back()->fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    peers.back()->say(get_close);
    turns(s.front.loop, 1);
  }
  REQUIRE(until(s.front.loop, [&] { return s.upstream_of.size() == 1000; }));
  auto before = resident_bytes();
  REQUIRE(until(s.replica.loop, [&] { return s.replica.asked.size() == 1000; }));
  for (auto& [id, request] : s.replica.asked)
    s.replica.in->send_head(id, 200, {}, answer_bytes);
  // The replica gives each stream 32 KiB at a time, and only while what it gave is taken.
  for (int round = 0; round < 32; ++round) {
    for (auto& [id, request] : s.replica.asked)
      if (s.replica.in->unsent_bytes(id) == 0)
        s.replica.in->send_body(id, std::string(32 << 10, 'x'));
    turns(s.replica.loop, 2);
    turns(s.front.loop, 4);
  }
  size_t held = 0;
  for (auto& [id, u] : s.upstream_of)
    held += s.front.in->unsent_bytes(id);
  auto grown = resident_bytes() - before;
  WARN("1,000 slow streams: " << held / 1024 << " KiB unsent, " << grown / 1024 << " KiB resident, replica included");
  CHECK(s.most_unsent() <= HttpListener::high_watermark + (16 << 10));
  CHECK(held <= 1000 * (HttpListener::high_watermark + (16 << 10)));
}
