// Tests what callers receive if a replica dies in an answer without a length while their request is on its way to it.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "frontend_fixture.hpp"
#include "socket_peer.hpp"

using namespace mosskeel;

namespace {

constexpr size_t kRequestBytes = 3u << 20;
/// Of a connection to a replica: small, so that the request is still on its way when the answer begins.
constexpr int kReplicaReceiveBufferBytes = 16 << 10;
/// Of an Ethernet; the send buffers of a connection grow with its segments.
constexpr int kSegmentBytes = 1460;

/// A listener for all replicas of the fixture. It reads no more than the head of a request.
struct StalledReplica {
  Fd listener = listening_socket();
  std::optional<SocketPeer> connection;

  StalledReplica() {
    set_socket_option(listener.get(), SOL_SOCKET, SO_RCVBUF, kReplicaReceiveBufferBytes);
    set_socket_option(listener.get(), IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
  }
  Address address() const { return bound_address(listener.get()); }
  bool accept() {
    if (Fd accepted{::accept(listener.get(), nullptr, nullptr)}) {
      connection.emplace(std::move(accepted));
    }
    return connection.has_value();
  }
  std::string read_head() {
    char buffer[1024];
    auto size = ::recv(connection->socket.get(), buffer, sizeof buffer, 0);
    return {buffer, static_cast<size_t>(std::max<ssize_t>(size, 0))};
  }
};

struct FrontendFixture {
  EventLoop loop;
  StalledReplica replica;
  std::unique_ptr<HttpFrontend> frontend;
  uint32_t status = 0;
  std::string body;
  bool is_complete = false;
  bool has_failed = false;
  UpstreamClient caller{
      loop,
      {[this](uint64_t, UpstreamClient::ResponseHead&& head) { status = head.status; },
       [this](uint64_t, std::string_view bytes) { body += bytes; }, [this](uint64_t) { is_complete = true; },
       [this](uint64_t, UpstreamClient::Delivery, std::string) {
         has_failed = true;
       }}};

  FrontendFixture() {
    auto metadata = test::routing_metadata();
    for (auto& [name, listed] : metadata.replicas)
      listed.url = "http://" + replica.address();
    for (auto& path : metadata.configuration.paths)
      path.attempts = 1;
    frontend = test::open_frontend(loop, metadata);
    tick();
  }
  void tick() {
    loop.run_after(5ms, [this] { tick(); });
    frontend->tick();
  }

  /// Sends a long request on the path, and runs until the replica has its head.
  std::string send(const std::string& path) {
    caller.send_request({frontend->local_address(),
                         "POST",
                         "/" + path + "/1",
                         {{"Host", "h.example"}, {"Mosskeel-Attempt-Id", "a1"}},
                         std::string(kRequestBytes, 'x')});
    REQUIRE(run_until(loop, [this] { return replica.accept(); }));
    run_iterations(loop, 20);
    return replica.read_head();
  }
};

}  // namespace

// Guards against review case 7: the part of the answer that had come was passed on as a whole success.
TEST_CASE("HttpFrontend passes no answer on as whole that was reset while its request was on its way") {
  auto path = GENERATE(as<std::string>{}, "safe", "unsafe", "stream", "resume");
  auto part = GENERATE(as<std::string>{}, "", "id: 1\ndata: 0123456789abcdef\n\n", std::string(20000, 'a'));
  auto content_type = GENERATE(as<std::string>{}, "text/plain", "text/event-stream");
  FrontendFixture fixture;
  CAPTURE(path, part.size(), content_type);

  auto head = fixture.send(path);
  REQUIRE(head.find("a1") != std::string::npos);
  fixture.replica.connection->send(
      "HTTP/1.1 200 OK\r\nMosskeel-Attempt-Id: a1\r\nMosskeel-Server-Seal: s1\r\nContent-Type: " + content_type +
      "\r\nConnection: close\r\n\r\n" + part);
  run_iterations(fixture.loop, 50);
  fixture.replica.connection->close();

  REQUIRE(run_until(fixture.loop, [&] { return fixture.is_complete || fixture.has_failed; }));
  bool is_success = fixture.is_complete && fixture.status < 300;
  CHECK_FALSE(is_success);
}
