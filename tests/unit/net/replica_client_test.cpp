// Tests that ReplicaClient sends no request twice and reports no broken response as complete.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "base/fd.hpp"
#include "base/queue.hpp"
#include "net/endpoint.hpp"
#include "net/replica_client.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// A replica on its own thread that responds to the first request of each connection and closes the connection without
/// a response at the second.
class OneResponseReplica {
 public:
  /// @param response if empty, the connection is closed at the first request.
  explicit OneResponseReplica(std::string response)
      : response_(std::move(response)), listening_socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto endpoint = parse_endpoint("127.0.0.1:0");
    REQUIRE(::bind(listening_socket_.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) == 0);
    REQUIRE(::listen(listening_socket_.get(), 16) == 0);
    url = "http://" + bound_address(listening_socket_.get());
    thread_ = std::thread([this] { run(); });
  }
  ~OneResponseReplica() {
    stop_requested_ = true;
    thread_.join();
  }

  std::string url;
  std::atomic<int> requests{0};
  std::atomic<int> connections{0};

 private:
  struct Connection {
    Fd socket;
    int requests = 0;
  };

  static bool readable(int socket) {
    pollfd polled{socket, POLLIN, 0};
    return ::poll(&polled, 1, 20) > 0;
  }

  void run() {
    std::vector<Connection> open;
    while (!stop_requested_) {
      if (readable(listening_socket_.get())) {
        open.push_back({Fd(::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC))});
        ++connections;
      }
      std::erase_if(open,
                    [this](Connection& connection) { return readable(connection.socket.get()) && !serve(connection); });
    }
  }

  /// Returns false if the connection must be closed.
  bool serve(Connection& connection) {
    char buffer[8192];
    if (::recv(connection.socket.get(), buffer, sizeof buffer, 0) <= 0) {
      return false;
    }
    ++requests;
    ++connection.requests;
    if (connection.requests > 1 || response_.empty()) {
      return false;
    }
    return ::send(connection.socket.get(), response_.data(), response_.size(), MSG_NOSIGNAL) >= 0;
  }

  std::string response_;
  Fd listening_socket_;
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

/// A replica on its own thread that answers one request before it has read it, and closes the connection with the rest
/// of the request unread, which resets it.
class ResettingReplica {
 public:
  explicit ResettingReplica(const std::string& response)
      : listening_socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Small, so that a part of the request stays unsent.
    set_socket_option(listening_socket_.get(), SOL_SOCKET, SO_RCVBUF, 16 << 10);
    set_socket_option(listening_socket_.get(), IPPROTO_TCP, TCP_MAXSEG, 1460);
    auto endpoint = parse_endpoint("127.0.0.1:0");
    REQUIRE(::bind(listening_socket_.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) == 0);
    REQUIRE(::listen(listening_socket_.get(), 1) == 0);
    url = "http://" + bound_address(listening_socket_.get());
    thread_ = std::thread([this, response] { serve(response); });
  }
  ~ResettingReplica() { thread_.join(); }

  std::string url;

 private:
  void serve(const std::string& response) {
    Fd connection(::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    char buffer[1024];
    [[maybe_unused]] auto received = ::recv(connection.get(), buffer, sizeof buffer, 0);
    [[maybe_unused]] auto sent = ::send(connection.get(), response.data(), response.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(100ms);
  }

  Fd listening_socket_;
  std::thread thread_;
};

struct ReplicaClientFixture {
  Queue<Message> messages;
  ReplicaClient client{[this](Message message) {
    messages.push(std::move(message));
  }};
  int last_attempt = 0;

  ReplicaCallResponse call(const std::string& url, bool idempotent, const std::string& kind = "app",
                           const std::string& body = "{}") {
    auto attempt = "a" + std::to_string(++last_attempt);
    client.send({attempt, kind, url, idempotent ? "GET" : "POST", idempotent ? "" : body, 5000, idempotent});
    while (true) {
      auto message = messages.pop(20000ms);
      REQUIRE(message);
      if (auto* response = std::get_if<ReplicaCallResponse>(&*message)) {
        return *response;
      }
    }
  }
};

const std::string kSealedResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Seal: " + hex(digest("ok")) + "\r\n\r\nok";

}  // namespace

TEST_CASE("ReplicaClient sends requests that are not idempotent on a new connection, as libcurl resends on used ones") {
  OneResponseReplica replica(kSealedResponse);
  ReplicaClientFixture fixture;

  CHECK(fixture.call(replica.url + "/x", true).complete);

  auto response = fixture.call(replica.url + "/count", false);

  CHECK(response.complete);
  CHECK(replica.requests == 2);
  CHECK(replica.connections == 2);
}

TEST_CASE("ReplicaClient sends a request only once if its response is lost, and reports that it was sent") {
  OneResponseReplica replica("");
  ReplicaClientFixture fixture;

  auto response = fixture.call(replica.url + "/count", false);

  CHECK(response.request_sent);
  CHECK_FALSE(response.complete);
  CHECK_FALSE(response.reason.empty());
  CHECK(replica.requests == 1);
}

TEST_CASE("ReplicaClient reports that nothing was sent for a request whose connection is refused") {
  std::string url;
  {
    OneResponseReplica replica("");
    url = replica.url;
  }
  ReplicaClientFixture fixture;

  auto response = fixture.call(url + "/count", false);

  CHECK_FALSE(response.request_sent);
}

TEST_CASE("ReplicaClient never reports a truncated, unsealed or garbled response as complete") {
  const char* response_bytes = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Seal: 0\r\n\r\nhalf",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n");
  CAPTURE(response_bytes);
  OneResponseReplica replica(response_bytes);
  ReplicaClientFixture fixture;

  auto response = fixture.call(replica.url + "/count", false);

  CHECK_FALSE((response.complete && response.status == 200));
}

TEST_CASE("ReplicaClient reports no garbled stream as complete") {
  OneResponseReplica replica("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"n\":0,\"text\":\"a\"}\nnot json!!!\n");
  ReplicaClientFixture fixture;

  CHECK_FALSE(fixture.call(replica.url + "/turn", false, "model").complete);
}

// Guards against review case 7 on the product's own interface.
TEST_CASE("ReplicaClient reports no response without a length as complete that was reset while its request was sent") {
  auto kind = GENERATE(as<std::string>{}, "app", "model");
  auto body = GENERATE(as<std::string>{}, "", "ok");
  CAPTURE(kind, body);
  ResettingReplica replica("HTTP/1.1 200 OK\r\nConnection: close\r\nX-Seal: " + hex(digest("ok")) + "\r\n\r\n" + body);
  ReplicaClientFixture fixture;

  auto response = fixture.call(replica.url + "/count", false, kind, std::string(8 << 20, 'x'));

  CHECK(response.request_sent);
  CHECK_FALSE(response.complete);
}
