#include "net/upstream_client.hpp"
#include "socket_peer.hpp"

using namespace mosskeel;

namespace {

/// A scripted replica: a raw listener that counts what reaches it.
struct Replica {
  Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  std::deque<Peer> peers;
  Replica() {
    auto e = parse_endpoint("127.0.0.1:0");
    REQUIRE(::bind(fd.get(), reinterpret_cast<sockaddr*>(&e->storage), e->length) == 0);
    REQUIRE(::listen(fd.get(), 100) == 0);
  }
  Address at() const { return bound_address(fd.get()); }
  size_t requests() {
    size_t n = 0;
    for (Fd c; (c = Fd(::accept(fd.get(), nullptr, nullptr)));)
      peers.emplace_back(std::move(c));
    for (auto& p : peers)
      p.look(), n += count(p.got, " HTTP/1.1\r\n");
    return n;
  }
};

struct ClientFixture {
  struct Told {
    std::vector<UpstreamClient::ResponseHead> heads;
    std::string body, reason;
    int ended = 0, lost = 0;
    UpstreamClient::Delivery how{};
    bool over() const { return ended + lost > 0; }
  };
  EventLoop loop;
  Replica replica;
  std::map<uint64_t, Told> told;
  UpstreamClient out{
      loop,
      {[this](uint64_t id, UpstreamClient::ResponseHead&& a) {
         told[id].heads.push_back(std::move(a));
         if (skip_heads > 0 && skip_heads--)
           out.skip_response(id);
       },
       [this](uint64_t id, std::string_view s) { told[id].body += s; }, [this](uint64_t id) { ++told[id].ended; },
       [this](uint64_t id, UpstreamClient::Delivery how, std::string why) {
         ++told[id].lost, told[id].how = how, told[id].reason = std::move(why);
       }}};
  uint64_t ask(const std::string& method = "POST", bool fresh = false) {
    return out.send_request(
        {replica.at(), method, "/run", {{"Host", "r"}, {"X", "1"}}, method == "POST" ? "ask" : "", fresh});
  }
  /// Asks, waits for the request, answers on the connection it came by.
  uint64_t exchange(const std::string& answer, const std::string& method = "POST") {
    auto before = replica.requests();
    auto id = ask(method);
    REQUIRE(until(loop, [&] { return replica.requests() == before + 1; }));
    auto& p = last();
    p.say(answer);
    return id;
  }
  Peer& last() {
    for (auto& p : replica.peers)
      if (!p.got.empty() && p.got.find("\r\n\r\n") != std::string::npos && !p.closed)
        return busy = &p, p;
    FAIL("nobody asked");
    return *busy;
  }
  Told& over(uint64_t id) {
    REQUIRE(until(loop, [&] { return told[id].over(); }));
    turns(loop);
    CHECK(told[id].ended + told[id].lost == 1);
    return told[id];
  }
  Peer* busy = nullptr;
  int skip_heads = 0;
};

const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("an answer is read and its connection used again") {
  ClientFixture d;
  auto id = d.exchange(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 201 Made\r\n"
      "A: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n");
  auto& t = d.over(id);
  REQUIRE(t.heads.size() == 1);
  CHECK(t.heads[0].status == 201);
  CHECK(t.heads[0].chunked);
  CHECK(t.heads[0].fields == HeaderFields{{"A", "b"}, {"Transfer-Encoding", "chunked"}});
  CHECK(t.body == "abcde");
  CHECK(t.ended == 1);
  CHECK(d.replica.peers[0].got == "POST /run HTTP/1.1\r\nHost: r\r\nX: 1\r\nContent-Length: 3\r\n\r\nask");
  CHECK(d.out.idle() == 1);
  CHECK(d.over(d.exchange(good)).body == "ok");
  CHECK(d.out.opened() == 1);
  d.ask("POST", true);
  REQUIRE(until(d.loop, [&] { return d.replica.requests() == 3; }));
  CHECK(d.out.opened() == 2);
}

TEST_CASE("answers without a body by their kind end with their head") {
  ClientFixture d;
  CHECK(d.over(d.exchange("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "HEAD")).ended == 1);
  CHECK(d.over(d.exchange("HTTP/1.1 204 No\r\n\r\n", "GET")).ended == 1);
  CHECK(d.over(d.exchange("HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n", "GET")).ended == 1);
  CHECK(d.over(d.exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET")).ended == 1);
  CHECK(d.out.opened() == 1);
  CHECK(count(d.replica.peers[0].got, "Content-Length") == 0);
}

TEST_CASE("connections that can't be trusted are not used again") {
  ClientFixture d;
  auto answer =
      GENERATE(as<std::string>{}, good + "HTTP", good + good, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
  CAPTURE(answer);
  auto& t = d.over(d.exchange(answer));
  CHECK(t.ended == 1);
  CHECK(t.body == "ok");
  CHECK(d.out.idle() == 0);
  CHECK(d.over(d.exchange(good)).ended == 1);
  CHECK(d.out.opened() == 2);
  CHECK(d.replica.requests() == 2);
}

TEST_CASE("a byte or a close on an idle connection discards it, also right before its use") {
  ClientFixture d;
  bool seen = GENERATE(true, false), byte = GENERATE(true, false);
  d.over(d.exchange(good));
  REQUIRE(d.out.idle() == 1);
  byte ? d.replica.peers[0].say("x") : d.replica.peers[0].close();
  if (seen) {
    REQUIRE(until(d.loop, [&] { return d.out.idle() == 0; }));
  }
  auto id = d.ask();
  CHECK(d.out.opened() == 2);
  REQUIRE(until(d.loop, [&] { return d.replica.requests() == 2; }));
  d.replica.peers[1].say(good);
  CHECK(d.over(id).ended == 1);
}

TEST_CASE("idle connections expire, are forgotten, and the last one kept is used first") {
  ClientFixture d;
  d.over(d.exchange("HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=2\r\nContent-Length: 2\r\n\r\nok"));
  CHECK(d.out.idle() == 1);
  CHECK(until(d.loop, [&] { return d.out.idle() == 0; }));
  auto a = d.ask(), b = d.ask();
  REQUIRE(until(d.loop, [&] { return d.replica.requests() == 3; }));
  d.replica.peers[2].say(good);
  d.replica.peers[1].say(good);
  d.over(a), d.over(b);
  CHECK(d.out.idle() == 2);
  auto c = d.ask();
  d.out.forget(d.replica.at());
  CHECK(d.out.idle() == 0);
  REQUIRE(until(d.loop, [&] { return d.replica.requests() == 4; }));
  d.replica.peers[1].say(good), d.replica.peers[2].closed || (d.replica.peers[2].say(good), true);
  CHECK(d.over(c).ended == 1);
  CHECK(d.out.idle() == 0);
}

TEST_CASE("what is lost before a byte was handed over is unsent") {
  ClientFixture d;
  auto at = d.replica.at();
  d.replica.fd = Fd();
  auto way = GENERATE(0, 1, 2);
  UpstreamClient::Request a{at, "POST", "/", {{"Host", "r"}}, "b"};
  if (way == 1)
    a.to = "no-address";
  if (way == 2)
    a.fields.emplace_back("X", "a\r\nContent-Length: 9");
  auto id = d.out.send_request(a);
  CHECK_FALSE(d.told[id].over());
  auto& t = d.over(id);
  CHECK(t.lost == 1);
  CHECK(t.how == UpstreamClient::Delivery::not_sent);
}

TEST_CASE("a connect without an answer in time is unsent") {
  ClientFixture d;
  REQUIRE(::listen(d.replica.fd.get(), 0) == 0);
  Peer fills(d.replica.at());
  auto id = d.out.send_request({d.replica.at(), "GET", "/", {}, "", false, 30});
  auto& t = d.over(id);
  CHECK(t.how == UpstreamClient::Delivery::not_sent);
}

TEST_CASE("what is lost after that is sent, ends once, and is never asked twice") {
  ClientFixture d;
  bool warm = GENERATE(true, false);
  if (warm)
    d.over(d.exchange(good));
  auto before = d.replica.requests();
  auto answer = GENERATE(
      as<std::string>{}, "", "HTTP/1.1 2", "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "HTTP/1.1 200 OK\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nX : y\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
      "HTTP/1.1 101 Switch\r\n\r\n", "HTTP/2 200\r\n\r\n", "HTTP/1.1 700 X\r\n\r\n", "nonsense\r\n\r\n");
  CAPTURE(answer, warm);
  bool breaks = GENERATE(true, false);
  auto id = d.exchange(answer);
  breaks ? d.busy->break_off() : d.busy->close();
  auto& t = d.over(id);
  CHECK(t.ended == 0);
  CHECK(t.how == UpstreamClient::Delivery::possibly_sent);
  turns(d.loop, 20);
  CHECK(d.replica.requests() <= before + 1);
  CHECK(d.out.opened() == 1);
  CHECK(d.out.idle() == 0);
}

TEST_CASE("a paused answer is not read on, a dropped one says nothing more") {
  ClientFixture d;
  auto id = d.exchange("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
  REQUIRE(until(d.loop, [&] { return d.told[id].body == "abc"; }));
  d.out.pause(id, true);
  d.busy->say("def");
  turns(d.loop, 20);
  CHECK(d.told[id].body == "abc");
  bool dropped = GENERATE(true, false);
  dropped ? d.out.cancel(id) : d.out.pause(id, false);
  if (dropped) {
    REQUIRE(until(d.loop, [&] { return d.busy->look(); }));
    CHECK_FALSE(d.told[id].over());
  } else {
    CHECK(d.over(id).body == "abcdef");
  }
}

TEST_CASE("an answer that comes before the whole request was taken is read, its connection not kept") {
  ClientFixture d;
  auto id = d.out.send_request({d.replica.at(), "POST", "/", {{"Host", "r"}}, std::string(64 << 20, 'x')});
  REQUIRE(until(d.loop, [&] {
    for (Fd c; (c = Fd(::accept(d.replica.fd.get(), nullptr, nullptr)));)
      d.replica.peers.emplace_back(std::move(c));
    return !d.replica.peers.empty();
  }));
  d.replica.peers[0].say("HTTP/1.1 413 Big\r\nContent-Length: 0\r\n\r\n");
  CHECK(d.over(id).ended == 1);
  CHECK(d.told[id].heads.at(0).status == 413);
  CHECK(d.out.idle() == 0);
}

TEST_CASE("a connection that has rested too long for an ask is left alone, and a new one is opened") {
  ClientFixture d;
  auto request = [&](Millis max_idle_ms) {
    UpstreamClient::Request a{d.replica.at(), "POST", "/run", {{"Host", "r"}}, "ask"};
    a.max_idle_ms = max_idle_ms;
    auto before = d.replica.requests();
    auto id = d.out.send_request(std::move(a));
    REQUIRE(until(d.loop, [&] { return d.replica.requests() == before + 1; }));
    d.replica.peers.back().say(good);
    CHECK(d.over(id).ended == 1);
  };
  request(0);
  auto rested = monotonic_ms() + 30;
  until(d.loop, [&] { return monotonic_ms() > rested; });
  request(20);
  CHECK(d.out.opened() == 2);
  CHECK(d.out.idle() == 2);
  request(5000);
  CHECK(d.out.opened() == 2);
}

TEST_CASE("a skipped answer is read to its end unseen, and the own one behind it is told") {
  ClientFixture d;
  d.over(d.exchange(good));
  auto before = d.replica.requests();
  UpstreamClient::Request a{d.replica.at(), "POST", "/run", {{"Host", "r"}}, "ask"};
  a.tag = "second";
  auto id = d.out.send_request(std::move(a));
  REQUIRE(until(d.loop, [&] { return d.replica.requests() == before + 1; }));
  d.skip_heads = 1;
  auto split = GENERATE(size_t{0}, size_t{5}, size_t{40}, size_t{55});
  std::string both = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n" + good;
  auto& peer = d.last();
  peer.say(both.substr(0, split));
  turns(d.loop);
  peer.say(both.substr(split));
  auto& told = d.over(id);
  CHECK(told.ended == 1);
  CHECK(told.body == "ok");
  CHECK(told.heads.size() == 2);
  CHECK(d.out.idle() == 1);
}

TEST_CASE("a head tells the tag of the ask that had its connection before") {
  ClientFixture d;
  auto request = [&](const std::string& tag) {
    UpstreamClient::Request a{d.replica.at(), "GET", "/", {{"Host", "r"}}, ""};
    a.tag = tag;
    auto before = d.replica.requests();
    auto id = d.out.send_request(std::move(a));
    REQUIRE(until(d.loop, [&] { return d.replica.requests() == before + 1; }));
    d.last().say(good);
    return d.over(id).heads.at(0).previous_tag;
  };
  CHECK(request("first").empty());
  CHECK(request("second") == "first");
  CHECK(request("third") == "second");
}
