#pragma once
// An HttpListener that records its callbacks and by default responds to each request immediately.
#include "net/http_listener.hpp"
#include "socket_peer.hpp"

namespace mosskeel {

struct TestServer {
  struct ReceivedRequest {
    uint64_t exchange;
    HttpRequest request;
  };

  EventLoop loop;
  std::vector<ReceivedRequest> requests;
  /// Exchanges in callback order.
  std::vector<uint64_t> disconnected;
  std::vector<uint64_t> drained;
  /// Called for each request; if empty, no response is sent.
  std::function<void(uint64_t exchange)> respond = [this](uint64_t exchange) {
    listener->send_response(exchange, 200, {{"X-A", "b"}}, "hello");
  };
  std::function<void(uint64_t exchange)> on_drained;
  std::unique_ptr<HttpListener> listener;

  explicit TestServer(int send_buffer = 0) {
    auto opened = HttpListener::open(loop, "127.0.0.1:0",
                                     {[this](uint64_t exchange, HttpRequest&& request) {
                                        requests.push_back({exchange, std::move(request)});
                                        if (respond) {
                                          respond(exchange);
                                        }
                                      },
                                      [this](uint64_t exchange) { disconnected.push_back(exchange); },
                                      [this](uint64_t exchange) {
                                        drained.push_back(exchange);
                                        if (on_drained) {
                                          on_drained(exchange);
                                        }
                                      }},
                                     send_buffer);
    REQUIRE(opened.ok());
    listener = std::move(opened).value();
  }

  Address address() const { return listener->local_address(); }

  /// Sends the bytes on a new connection and returns everything received until it is closed.
  std::string exchange(const std::string& bytes) {
    SocketPeer caller(address());
    caller.send(bytes);
    CHECK(run_until(loop, [&] { return caller.receive(); }));
    return caller.received;
  }

  bool run_until_requests(size_t count) {
    return run_until(loop, [&] { return requests.size() == count; });
  }

  bool run_until_connections(size_t count) {
    return run_until(loop, [&] { return listener->connections() == count; });
  }
};

inline const std::string kGetRequest = "GET /a?b=c HTTP/1.1\r\nHost: News.Example:80\r\n\r\n";
inline const std::string kClosingGetRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

}  // namespace mosskeel
