#include "test_server.hpp"

using namespace mosskeel;

TEST_CASE("a request comes whole, without what belongs to the connection") {
  TestServer d;
  auto got = d.talk(
      "\r\nPOST /a?b=%20 HTTP/1.1\r\nHost: News.Example:80\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Stay:  two \r\n"
      "X-Empty:\r\nTE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: timeout=5\r\nProxy-Connection: "
      "x\r\nProxy-Authorization: y\r\n"
      "Trailer: T\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nT: v\r\n\r\n");
  REQUIRE(d.asked.size() == 1);
  auto& q = d.asked[0].second;
  CHECK(q.method == "POST");
  CHECK(q.target == "/a?b=%20");
  CHECK(q.host == "news.example");
  CHECK(q.body == "abcdefg");
  CHECK(q.fields == HeaderFields{{"Host", "News.Example:80"}, {"X-Stay", "two"}, {"X-Empty", ""}});
  CHECK(got == "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello");
}

TEST_CASE("a request may come byte by byte") {
  TestServer d;
  Peer p(d.in->local_address());
  for (char c : std::string("PUT /x HTTP/1.1\r\nHost: [::1]:8\r\nContent-Length: 4\r\n\r\nbody")) {
    p.say({&c, 1});
    turns(d.loop, 1);
  }
  REQUIRE(until(d.loop, [&] { return p.has("hello"); }));
  CHECK(d.asked.at(0).second.host == "[::1]");
  CHECK(d.asked.at(0).second.body == "body");
}

TEST_CASE("pipelined requests are asked one after the other") {
  TestServer d;
  d.answer = nullptr;
  Peer p(d.in->local_address());
  p.say(get + get + get_close + get);
  for (size_t n = 1; n <= 3; ++n) {
    REQUIRE(until(d.loop, [&] { return d.asked.size() == n; }));
    turns(d.loop);
    CHECK(d.asked.size() == n);
    d.in->send_response(d.asked.back().first, 200, {}, std::to_string(n));
  }
  REQUIRE(until(d.loop, [&] { return p.look(); }));
  CHECK(count(p.got, "HTTP/1.1 200") == 3);
  CHECK(d.asked.size() == 3);
  CHECK(d.left.empty());
}

TEST_CASE("many pipelined requests answered at once neither recurse nor get lost") {
  TestServer d;
  Peer p(d.in->local_address());
  std::string all;
  for (int i = 0; i < 2000; ++i)
    all += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  p.say(all);
  REQUIRE(until(d.loop, [&] { return p.look(), count(p.got, "hello") == 2000; }));
}

TEST_CASE("answers in pieces: chunks, lengths, bodiless ones, and HTTP/1.0") {
  TestServer d;
  auto pieces = [&](std::optional<uint64_t> length, uint32_t status = 200) {
    d.answer = [&d, length, status](uint64_t id) {
      d.in->send_head(id, status, {{"Connection", "X"}, {"X", "1"}, {"Bad", "a\r\nB: c"}, {"Y", "2"}}, length);
      d.in->send_body(id, "hello ");
      d.in->send_body(id, "");
      d.in->send_body(id, "world");
      d.in->finish(id);
    };
  };
  pieces(std::nullopt);
  CHECK(d.talk(get_close) ==
        "HTTP/1.1 200 OK\r\nY: 2\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n");
  CHECK(d.talk("GET / HTTP/1.0\r\n\r\n") == "HTTP/1.1 200 OK\r\nY: 2\r\nConnection: close\r\n\r\nhello world");
  pieces(11);
  CHECK(d.talk(get_close) == "HTTP/1.1 200 OK\r\nY: 2\r\nContent-Length: 11\r\nConnection: close\r\n\r\nhello world");
  CHECK(d.talk("HEAD / HTTP/1.0\r\n\r\n") ==
        "HTTP/1.1 200 OK\r\nY: 2\r\nContent-Length: 11\r\nConnection: close\r\n\r\n");
  pieces(std::nullopt, 204);
  CHECK(d.talk(get_close) == "HTTP/1.1 204 No Content\r\nY: 2\r\nConnection: close\r\n\r\n");
  Peer p(d.in->local_address());
  pieces(12);
  p.say(get);
  REQUIRE(until(d.loop, [&] { return p.look(); }));
  CHECK(p.reset);
  CHECK(d.left.empty());
}

TEST_CASE("an interim 100 is sent to those who wait for it, and not when the body is too big") {
  TestServer d;
  Peer p(d.in->local_address());
  p.say("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  REQUIRE(until(d.loop, [&] { return p.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
  p.say("abc");
  REQUIRE(until(d.loop, [&] { return p.has("hello"); }));
  CHECK(header_value(d.asked[0].second.fields, "Expect").empty());
  p.say("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n");
  REQUIRE(until(d.loop, [&] { return p.look(); }));
  CHECK(count(p.got, "100 Continue") == 1);
  CHECK(count(p.got, "HTTP/1.1 413") == 1);
}

TEST_CASE("a caller that closes or resets is told of once, and its exchange is dead") {
  TestServer d;
  d.answer = nullptr;
  int way = GENERATE(0, 1, 2);
  Peer p(d.in->local_address());
  p.say(get + (way == 1 ? get : ""));
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 1; }));
  auto id = d.asked[0].first;
  d.in->send_head(id, 200, {}, std::nullopt);
  way == 0 ? p.break_off() : way == 1 ? p.close() : void(::shutdown(p.fd.get(), SHUT_WR));
  REQUIRE(until(d.loop, [&] { return !d.left.empty(); }));
  CHECK(d.left == std::vector{id});
  CHECK(d.in->connections() == 0);
  d.in->send_body(id, "x");
  d.in->finish(id);
  turns(d.loop);
  CHECK(d.left.size() == 1);
  CHECK(d.asked.size() == 1);
}

TEST_CASE("a cut answer ends in a reset") {
  TestServer d;
  d.answer = nullptr;
  Peer p(d.in->local_address());
  p.say(get);
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 1; }));
  auto id = d.asked[0].first;
  d.in->send_head(id, 200, {}, std::nullopt);
  d.in->send_body(id, "part");
  REQUIRE(until(d.loop, [&] { return p.has("part"); }));
  d.in->abort(id);
  REQUIRE(until(d.loop, [&] { return p.look(); }));
  CHECK(p.reset);
  CHECK(d.left.empty());
}

TEST_CASE("unsent bytes are counted and their draining told") {
  TestServer d;
  d.answer = nullptr;
  Peer p(d.in->local_address());
  p.say(get);
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 1; }));
  auto id = d.asked[0].first;
  d.in->send_head(id, 200, {}, 32 << 20);
  for (int i = 0; i < 32; ++i)
    d.in->send_body(id, std::string(1 << 20, 'x'));
  turns(d.loop);
  CHECK(d.in->unsent_bytes(id) > HttpListener::high_watermark);
  CHECK(d.drained.empty());
  REQUIRE(until(d.loop, [&] { return p.look(), !d.drained.empty(); }));
  CHECK(d.in->unsent_bytes(id) < HttpListener::low_watermark);
  d.in->finish(id);
  REQUIRE(until(d.loop, [&] { return p.look(), p.got.size() > 32 << 20; }));
  turns(d.loop);
  CHECK(d.drained.size() == 1);
  CHECK(d.in->connections() == 1);
}

TEST_CASE("closing after answers: idle sessions get one more answer, the last; listening goes on") {
  TestServer d;
  Peer idle(d.in->local_address()), busy(d.in->local_address()), half(d.in->local_address());
  idle.say(get), half.say("GET / HTTP/1.1\r\n");
  REQUIRE(until(d.loop, [&] { return idle.has("hello"); }));
  d.answer = nullptr;
  busy.say(get);
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 2; }));
  d.in->close_after_responses();
  turns(d.loop);
  CHECK_FALSE(idle.look());
  CHECK_FALSE(busy.look());
  d.in->send_response(d.asked[1].first, 200, {}, "bye");
  REQUIRE(until(d.loop, [&] { return busy.look(); }));
  CHECK(busy.got.ends_with("Connection: close\r\n\r\nbye"));
  d.answer = [&](uint64_t id) {
    d.in->send_response(id, 503, {}, "late");
  };
  half.say("Host: h\r\n\r\n");
  REQUIRE(until(d.loop, [&] { return half.look(); }));
  CHECK(half.got.ends_with("Connection: close\r\n\r\nlate"));
  CHECK(d.talk(get).ends_with("Connection: close\r\n\r\nlate"));
  idle.got.clear();
  idle.say(get);
  REQUIRE(until(d.loop, [&] { return idle.look(); }));
  CHECK_FALSE(idle.reset);
  CHECK(idle.got.ends_with("Connection: close\r\n\r\nlate"));
  REQUIRE(until(d.loop, [&] { return d.in->connections() == 0; }));
}

TEST_CASE("draining: idle sessions end, nobody new is taken, every request that was read has its whole answer") {
  TestServer d;
  auto at = d.in->local_address();
  Peer idle(at), busy(at), half(at), silent(at);
  idle.say(get), half.say("GET / HTTP/1.1\r\n");
  REQUIRE(until(d.loop, [&] { return idle.has("hello") && d.in->connections() == 4; }));
  d.answer = nullptr;
  busy.say(get);
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 2; }));
  d.in->drain();
  REQUIRE(until(d.loop, [&] { return idle.look() && silent.look(); }));
  CHECK_FALSE(idle.reset);
  CHECK(count(idle.got, "HTTP/1.1") == 1);
  Fd late(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto e = parse_endpoint(at);
  CHECK(::connect(late.get(), reinterpret_cast<sockaddr*>(&e->storage), e->length) != 0);
  half.say("Host: h\r\n\r\n");
  REQUIRE(until(d.loop, [&] { return d.asked.size() == 3; }));
  idle.close(), silent.close();
  REQUIRE(until(d.loop, [&] { return d.in->connections() == 2; }));
  for (auto i : {1, 2})
    d.in->send_response(d.asked[static_cast<size_t>(i)].first, 200, {}, "bye");
  REQUIRE(until(d.loop, [&] { return busy.look() && half.look(); }));
  for (auto* p : {&busy, &half})
    CHECK(p->got.ends_with("Connection: close\r\n\r\nbye"));
  busy.close(), half.close();
  REQUIRE(until(d.loop, [&] { return d.in->connections() == 0; }));
}

TEST_CASE("a request that crosses the close of its idle session is not read, and its caller sees that") {
  TestServer d;
  Peer p(d.in->local_address());
  p.say(get);
  REQUIRE(until(d.loop, [&] { return p.has("hello"); }));
  SECTION("at draining") {
    d.in->drain();
  }
  SECTION("at the end of the idle time") {
    HttpListenerLimits l;
    l.idle_timeout_ms = 20;
    d.in->set_limits(l);
    Peer other(d.in->local_address());
    REQUIRE(until(d.loop, [&] { return other.look(); }));
    p.close();
    p = std::move(other);
  }
  p.say(get);
  REQUIRE(until(d.loop, [&] { return d.in->connections() == 0; }));
  CHECK(d.asked.size() == 1);
  REQUIRE(until(d.loop, [&] { return ::send(p.fd.get(), "x", 1, MSG_NOSIGNAL) < 0; }));
}

TEST_CASE("slow heads get 408, idle sessions are closed, too many are not taken") {
  TestServer d;
  HttpListenerLimits l;
  l.head_timeout_ms = 20, l.idle_timeout_ms = 60, l.max_connections = 2;
  d.in->set_limits(l);
  CHECK(d.talk("GET / HT").starts_with("HTTP/1.1 408 "));
  CHECK(d.talk("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na").starts_with("HTTP/1.1 408 "));
  CHECK(d.talk("").empty());
  CHECK(d.talk("\r\n").empty());
  REQUIRE(until(d.loop, [&] { return d.in->connections() == 0; }));
  l.idle_timeout_ms = 15000;
  d.in->set_limits(l);
  Peer a(d.in->local_address()), b(d.in->local_address()), c(d.in->local_address());
  REQUIRE(until(d.loop, [&] { return c.look(); }));
  CHECK(d.in->connections() == 2);
}
