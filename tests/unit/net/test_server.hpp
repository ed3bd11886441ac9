#pragma once
// An http_listener whose requests are noted and answered.
#include "net/http_listener.hpp"
#include "socket_peer.hpp"

namespace mosskeel {

struct TestServer {
  EventLoop loop;
  std::vector<std::pair<uint64_t, HttpRequest>> asked;
  std::vector<uint64_t> left, drained;
  std::function<void(uint64_t)> answer = [this](uint64_t id) {
    in->send_response(id, 200, {{"X-A", "b"}}, "hello");
  };
  std::function<void(uint64_t)> on_drained;
  std::unique_ptr<HttpListener> in;
  explicit TestServer(int send_buffer = 0) {
    auto r = HttpListener::open(loop, "127.0.0.1:0",
                                {[this](uint64_t id, HttpRequest&& q) {
                                   asked.emplace_back(id, std::move(q));
                                   if (answer)
                                     answer(id);
                                 },
                                 [this](uint64_t id) { left.push_back(id); },
                                 [this](uint64_t id) {
                                   drained.push_back(id);
                                   if (on_drained)
                                     on_drained(id);
                                 }},
                                send_buffer);
    REQUIRE(r.ok());
    in = std::move(r).value();
  }
  std::string talk(const std::string& s) {
    Peer p(in->local_address());
    p.say(s);
    CHECK(until(loop, [&] { return p.look(); }));
    return p.got;
  }
};

inline const std::string get = "GET /a?b=c HTTP/1.1\r\nHost: News.Example:80\r\n\r\n";
inline const std::string get_close = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

}  // namespace mosskeel
