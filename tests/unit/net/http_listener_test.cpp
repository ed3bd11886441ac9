// Tests of the HTTP server: reading requests, sending responses and closing connections.
#include "test_server.hpp"

using namespace mosskeel;

namespace {

const std::string kStatusLine200 = "HTTP/1.1 200 OK\r\n";

/// Responds with a body in several pieces and with fields that must not be sent.
auto respond_in_pieces(TestServer& server, std::optional<uint64_t> content_length, uint32_t status = 200) {
  return [&server, content_length, status](uint64_t exchange) {
    HeaderFields fields{{"Connection", "X"}, {"X", "1"}, {"Bad", "a\r\nB: c"}, {"Y", "2"}};
    server.listener->send_head(exchange, status, fields, content_length);
    server.listener->send_body(exchange, "hello ");
    server.listener->send_body(exchange, "");
    server.listener->send_body(exchange, "world");
    server.listener->finish(exchange);
  };
}

}  // namespace

TEST_CASE("HttpListener passes on a request without its hop-by-hop fields") {
  TestServer server;

  auto response = server.exchange(
      "\r\nPOST /a?b=%20 HTTP/1.1\r\nHost: News.Example:80\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Stay:  two \r\n"
      "X-Empty:\r\nTE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: timeout=5\r\nProxy-Connection: "
      "x\r\nProxy-Authorization: y\r\n"
      "Trailer: T\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nT: v\r\n\r\n");

  REQUIRE(server.requests.size() == 1);
  const auto& request = server.requests[0].request;

  CHECK(request.method == "POST");
  CHECK(request.target == "/a?b=%20");
  CHECK(request.host == "news.example");
  CHECK(request.body == "abcdefg");
  CHECK(request.fields == HeaderFields{{"Host", "News.Example:80"}, {"X-Stay", "two"}, {"X-Empty", ""}});
  CHECK(response == kStatusLine200 + "X-A: b\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello");
}

TEST_CASE("HttpListener reads a request that arrives byte by byte") {
  TestServer server;
  SocketPeer caller(server.address());

  for (char byte : std::string("PUT /x HTTP/1.1\r\nHost: [::1]:8\r\nContent-Length: 4\r\n\r\nbody")) {
    caller.send({&byte, 1});
    run_iterations(server.loop, 1);
  }

  REQUIRE(run_until(server.loop, [&] { return caller.has_received("hello"); }));
  CHECK(server.requests.at(0).request.host == "[::1]");
  CHECK(server.requests.at(0).request.body == "body");
}

TEST_CASE("HttpListener passes on pipelined requests one at a time") {
  TestServer server;
  server.respond = nullptr;
  SocketPeer caller(server.address());
  caller.send(kGetRequest + kGetRequest + kClosingGetRequest + kGetRequest);

  for (size_t count = 1; count <= 3; ++count) {
    REQUIRE(server.run_until_requests(count));
    run_iterations(server.loop);

    CHECK(server.requests.size() == count);

    server.listener->send_response(server.requests.back().exchange, 200, {}, std::to_string(count));
  }

  REQUIRE(run_until(server.loop, [&] { return caller.receive(); }));
  CHECK(count_occurrences(caller.received, "HTTP/1.1 200") == 3);
  CHECK(server.requests.size() == 3);
  CHECK(server.disconnected.empty());
}

TEST_CASE("HttpListener responds to thousands of pipelined requests without recursion or loss") {
  constexpr size_t kRequests = 2000;
  TestServer server;
  SocketPeer caller(server.address());
  std::string requests;
  for (size_t i = 0; i < kRequests; ++i) {
    requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  caller.send(requests);

  REQUIRE(run_until(server.loop, [&] {
    caller.receive();
    return count_occurrences(caller.received, "hello") == kRequests;
  }));
}

TEST_CASE("HttpListener sends a body of unknown length in chunks, but not to HTTP/1.0") {
  TestServer server;
  server.respond = respond_in_pieces(server, std::nullopt);

  CHECK(server.exchange(kClosingGetRequest) == kStatusLine200 +
                                                   "Y: 2\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                                                   "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n");
  CHECK(server.exchange("GET / HTTP/1.0\r\n\r\n") == kStatusLine200 + "Y: 2\r\nConnection: close\r\n\r\nhello world");
}

TEST_CASE("HttpListener sends a body of known length unchunked, and none in response to HEAD") {
  TestServer server;
  server.respond = respond_in_pieces(server, 11);

  CHECK(server.exchange(kClosingGetRequest) ==
        kStatusLine200 + "Y: 2\r\nContent-Length: 11\r\nConnection: close\r\n\r\nhello world");
  CHECK(server.exchange("HEAD / HTTP/1.0\r\n\r\n") ==
        kStatusLine200 + "Y: 2\r\nContent-Length: 11\r\nConnection: close\r\n\r\n");
}

TEST_CASE("HttpListener sends neither body nor framing fields with a status that allows none") {
  TestServer server;
  server.respond = respond_in_pieces(server, std::nullopt, 204);

  CHECK(server.exchange(kClosingGetRequest) == "HTTP/1.1 204 No Content\r\nY: 2\r\nConnection: close\r\n\r\n");
}

TEST_CASE("HttpListener resets the connection of a response that is shorter than its length") {
  TestServer server;
  server.respond = respond_in_pieces(server, 12);
  SocketPeer caller(server.address());

  caller.send(kGetRequest);

  REQUIRE(run_until(server.loop, [&] { return caller.receive(); }));
  CHECK(caller.reset);
  CHECK(server.disconnected.empty());
}

TEST_CASE("HttpListener sends 100 Continue to a caller that waits for it") {
  TestServer server;
  SocketPeer caller(server.address());

  caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  REQUIRE(run_until(server.loop, [&] { return caller.has_received("HTTP/1.1 100 Continue\r\n\r\n"); }));
  caller.send("abc");
  REQUIRE(run_until(server.loop, [&] { return caller.has_received("hello"); }));

  CHECK(header_value(server.requests[0].request.fields, "Expect").empty());
  CHECK(count_occurrences(caller.received, "100 Continue") == 1);
}

TEST_CASE("HttpListener sends no 100 Continue before a body that is too large") {
  TestServer server;
  SocketPeer caller(server.address());

  caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n");

  REQUIRE(run_until(server.loop, [&] { return caller.receive(); }));
  CHECK(count_occurrences(caller.received, "100 Continue") == 0);
  CHECK(count_occurrences(caller.received, "HTTP/1.1 413") == 1);
}

TEST_CASE("HttpListener reports once that a caller has disconnected, and ignores its exchange from then on") {
  TestServer server;
  server.respond = nullptr;
  SocketPeer caller(server.address());
  std::function<void()> disconnect;
  SECTION("by a reset") {
    caller.send(kGetRequest);
    disconnect = [&] {
      caller.close_with_reset();
    };
  }
  SECTION("by a close, with a pipelined request unread") {
    caller.send(kGetRequest + kGetRequest);
    disconnect = [&] {
      caller.close();
    };
  }
  SECTION("by a shutdown of its side of the connection") {
    caller.send(kGetRequest);
    disconnect = [&] {
      ::shutdown(caller.socket.get(), SHUT_WR);
    };
  }
  REQUIRE(server.run_until_requests(1));
  auto exchange = server.requests[0].exchange;
  server.listener->send_head(exchange, 200, {}, std::nullopt);

  disconnect();

  REQUIRE(run_until(server.loop, [&] { return !server.disconnected.empty(); }));
  CHECK(server.disconnected == std::vector{exchange});
  CHECK(server.listener->connections() == 0);

  server.listener->send_body(exchange, "x");
  server.listener->finish(exchange);
  run_iterations(server.loop);

  CHECK(server.disconnected.size() == 1);
  CHECK(server.requests.size() == 1);
}

TEST_CASE("HttpListener resets the connection of an aborted response") {
  TestServer server;
  server.respond = nullptr;
  SocketPeer caller(server.address());
  caller.send(kGetRequest);
  REQUIRE(server.run_until_requests(1));
  auto exchange = server.requests[0].exchange;
  server.listener->send_head(exchange, 200, {}, std::nullopt);
  server.listener->send_body(exchange, "part");
  REQUIRE(run_until(server.loop, [&] { return caller.has_received("part"); }));

  server.listener->abort(exchange);

  REQUIRE(run_until(server.loop, [&] { return caller.receive(); }));
  CHECK(caller.reset);
  CHECK(server.disconnected.empty());
}

TEST_CASE("HttpListener counts unsent bytes, and reports once that they have drained") {
  constexpr size_t kBodyBytes = 32 << 20;
  constexpr size_t kPieceBytes = 1 << 20;
  TestServer server;
  server.respond = nullptr;
  SocketPeer caller(server.address());
  caller.send(kGetRequest);
  REQUIRE(server.run_until_requests(1));
  auto exchange = server.requests[0].exchange;

  server.listener->send_head(exchange, 200, {}, kBodyBytes);
  for (size_t sent = 0; sent < kBodyBytes; sent += kPieceBytes) {
    server.listener->send_body(exchange, std::string(kPieceBytes, 'x'));
  }
  run_iterations(server.loop);
  CHECK(server.listener->unsent_bytes(exchange) > HttpListener::kHighWatermark);
  CHECK(server.drained.empty());

  REQUIRE(run_until(server.loop, [&] {
    caller.receive();
    return !server.drained.empty();
  }));
  CHECK(server.listener->unsent_bytes(exchange) < HttpListener::kLowWatermark);

  server.listener->finish(exchange);
  REQUIRE(run_until(server.loop, [&] {
    caller.receive();
    return caller.received.size() > kBodyBytes;
  }));
  run_iterations(server.loop);

  CHECK(server.drained.size() == 1);
  CHECK(server.listener->connections() == 1);
}

TEST_CASE("HttpListener that closes after responses gives each connection one more response, and goes on listening") {
  TestServer server;
  SocketPeer idle(server.address());
  SocketPeer busy(server.address());
  SocketPeer half_sent(server.address());
  idle.send(kGetRequest);
  half_sent.send("GET / HTTP/1.1\r\n");
  REQUIRE(run_until(server.loop, [&] { return idle.has_received("hello"); }));
  server.respond = nullptr;
  busy.send(kGetRequest);
  REQUIRE(server.run_until_requests(2));

  server.listener->close_after_responses();

  run_iterations(server.loop);
  CHECK_FALSE(idle.receive());
  CHECK_FALSE(busy.receive());

  server.listener->send_response(server.requests[1].exchange, 200, {}, "bye");
  REQUIRE(run_until(server.loop, [&] { return busy.receive(); }));

  CHECK(busy.received.ends_with("Connection: close\r\n\r\nbye"));

  server.respond = [&](uint64_t exchange) {
    server.listener->send_response(exchange, 503, {}, "late");
  };
  half_sent.send("Host: h\r\n\r\n");
  REQUIRE(run_until(server.loop, [&] { return half_sent.receive(); }));

  CHECK(half_sent.received.ends_with("Connection: close\r\n\r\nlate"));
  CHECK(server.exchange(kGetRequest).ends_with("Connection: close\r\n\r\nlate"));

  idle.received.clear();
  idle.send(kGetRequest);
  REQUIRE(run_until(server.loop, [&] { return idle.receive(); }));

  CHECK_FALSE(idle.reset);
  CHECK(idle.received.ends_with("Connection: close\r\n\r\nlate"));

  REQUIRE(server.run_until_connections(0));
}

TEST_CASE("HttpListener that drains closes idle connections, accepts no new ones and completes open exchanges") {
  TestServer server;
  auto address = server.address();
  SocketPeer idle(address);
  SocketPeer busy(address);
  SocketPeer half_sent(address);
  SocketPeer unused(address);
  idle.send(kGetRequest);
  half_sent.send("GET / HTTP/1.1\r\n");
  REQUIRE(run_until(server.loop, [&] { return idle.has_received("hello") && server.listener->connections() == 4; }));
  server.respond = nullptr;
  busy.send(kGetRequest);
  REQUIRE(server.run_until_requests(2));

  server.listener->drain();

  REQUIRE(run_until(server.loop, [&] { return idle.receive() && unused.receive(); }));
  CHECK_FALSE(idle.reset);
  CHECK(count_occurrences(idle.received, "HTTP/1.1") == 1);

  Fd late(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto endpoint = parse_endpoint(address);

  CHECK(::connect(late.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) != 0);

  half_sent.send("Host: h\r\n\r\n");
  REQUIRE(server.run_until_requests(3));
  idle.close();
  unused.close();
  REQUIRE(server.run_until_connections(2));

  server.listener->send_response(server.requests[1].exchange, 200, {}, "bye");
  server.listener->send_response(server.requests[2].exchange, 200, {}, "bye");
  REQUIRE(run_until(server.loop, [&] { return busy.receive() && half_sent.receive(); }));

  CHECK(busy.received.ends_with("Connection: close\r\n\r\nbye"));
  CHECK(half_sent.received.ends_with("Connection: close\r\n\r\nbye"));

  busy.close();
  half_sent.close();
  REQUIRE(server.run_until_connections(0));
}

TEST_CASE("HttpListener does not read a request that arrives after it has closed its idle connection") {
  TestServer server;
  SocketPeer caller(server.address());
  caller.send(kGetRequest);
  REQUIRE(run_until(server.loop, [&] { return caller.has_received("hello"); }));
  SECTION("when it drains") {
    server.listener->drain();
  }
  SECTION("after the idle timeout") {
    HttpListenerLimits limits;
    limits.idle_timeout = 20ms;
    server.listener->set_limits(limits);
    SocketPeer other(server.address());
    REQUIRE(run_until(server.loop, [&] { return other.receive(); }));
    caller.close();
    caller = std::move(other);
  }

  caller.send(kGetRequest);

  REQUIRE(server.run_until_connections(0));
  CHECK(server.requests.size() == 1);

  REQUIRE(run_until(server.loop, [&] { return ::send(caller.socket.get(), "x", 1, MSG_NOSIGNAL) < 0; }));
}

TEST_CASE("HttpListener responds 408 to slow requests, and closes idle connections without a response") {
  TestServer server;
  HttpListenerLimits limits;
  limits.head_timeout = 20ms;
  limits.idle_timeout = 60ms;
  server.listener->set_limits(limits);

  CHECK(server.exchange("GET / HT").starts_with("HTTP/1.1 408 "));
  CHECK(server.exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na").starts_with("HTTP/1.1 408 "));
  CHECK(server.exchange("").empty());
  CHECK(server.exchange("\r\n").empty());

  REQUIRE(server.run_until_connections(0));
}

TEST_CASE("HttpListener closes connections beyond its limit at once") {
  TestServer server;
  HttpListenerLimits limits;
  limits.max_connections = 2;
  server.listener->set_limits(limits);
  SocketPeer first(server.address());
  SocketPeer second(server.address());

  SocketPeer third(server.address());

  REQUIRE(run_until(server.loop, [&] { return third.receive(); }));
  CHECK(server.listener->connections() == 2);
}

// Guards against callers that together choose how much a gateway holds.
TEST_CASE("HttpListener refuses bodies that exceed its limit together, and accepts others once those are answered") {
  TestServer server;
  server.respond = nullptr;
  HttpListenerLimits limits;
  limits.max_total_body_bytes = 10000;
  server.listener->set_limits(limits);
  const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n" + std::string(6000, 'x');
  SocketPeer first(server.address());
  first.send(request);
  REQUIRE(server.run_until_requests(1));
  CHECK(server.listener->body_bytes() == 6000);

  auto refused = server.exchange(request);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: 1") != std::string::npos);
  CHECK(server.listener->body_bytes() == 6000);

  SocketPeer unfinished(server.address());
  unfinished.send(request.substr(0, 2000));
  REQUIRE(run_until(server.loop, [&] { return server.listener->body_bytes() > 6000; }));
  unfinished.close();
  REQUIRE(run_until(server.loop, [&] { return server.listener->body_bytes() == 6000; }));

  server.listener->send_response(server.requests[0].exchange, 200, {}, "");
  CHECK(server.listener->body_bytes() == 0);
  SocketPeer second(server.address());
  second.send(request);
  CHECK(server.run_until_requests(2));
}
