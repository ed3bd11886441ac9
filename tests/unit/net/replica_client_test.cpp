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

/// A replica that answers each request with a head and then sends the same bytes again and again, until the caller
/// closes. Each connection has a thread of its own.
class EndlessReplica {
 public:
  EndlessReplica(std::string head, const std::string& unit)
      : head_(std::move(head)), listening_socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    while (repeated_.size() < (16 << 10)) {
      repeated_ += unit;
    }
    auto endpoint = parse_endpoint("127.0.0.1:0");
    REQUIRE(::bind(listening_socket_.get(), reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) == 0);
    REQUIRE(::listen(listening_socket_.get(), 100) == 0);
    url = "http://" + bound_address(listening_socket_.get());
    acceptor_ = std::thread([this] { accept(); });
  }
  ~EndlessReplica() {
    ::shutdown(listening_socket_.get(), SHUT_RDWR);
    acceptor_.join();
    for (auto& sender : senders_) {
      sender.join();
    }
  }

  std::string url;

 private:
  void accept() {
    while (true) {
      Fd connection(::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!connection) {
        return;
      }
      senders_.emplace_back([this, connection = std::move(connection)] { serve(connection.get()); });
    }
  }

  void serve(int socket) const {
    char buffer[8192];
    bool connected =
        ::recv(socket, buffer, sizeof buffer, 0) > 0 && ::send(socket, head_.data(), head_.size(), MSG_NOSIGNAL) > 0;
    while (connected) {
      connected = ::send(socket, repeated_.data(), repeated_.size(), MSG_NOSIGNAL) > 0;
    }
  }

  const std::string head_;
  std::string repeated_;
  Fd listening_socket_;
  std::thread acceptor_;
  std::vector<std::thread> senders_;
};

struct ReplicaClientFixture {
  Queue<Message> messages;
  std::atomic<size_t> backlog{0};
  ReplicaCallLimits limits = ReplicaCallLimits::for_memory(0);
  ReplicaClient client{[this](Message message) { messages.push(std::move(message)); }, limits,
                       [this] {
                         return backlog.load();
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

// Guards against the memory that an endless answer of a replica took over the product's own interface.
TEST_CASE("ReplicaClient fails answers without end, and passes on no more than it may hold") {
  struct Endless {
    std::string kind, head, unit;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  auto endless = GENERATE_COPY(
      Endless{"app", ok + "\r\n", "x"}, Endless{"app", ok + "Content-Length: 100000000000000\r\n\r\n", "x"},
      Endless{"app", "HTTP/1.1 500 Oops\r\n\r\n", "x"},
      Endless{"app", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      Endless{"app", ok + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x"}, Endless{"model", ok + "\r\n", "x"},
      Endless{"model", ok + "\r\n", "{\"n\":0,\"text\":\"\",\"tokens\":0}\n"}, Endless{"app", ok + "X: ", "h"},
      Endless{"model", "", "HTTP/1.1 102 Processing\r\n\r\n"});
  CAPTURE(endless.kind, endless.head, endless.unit);
  EndlessReplica replica(endless.head, endless.unit);
  ReplicaClientFixture fixture;
  fixture.client.send({"a", endless.kind, replica.url + "/x", "POST", "{}", 3000, false});

  size_t passed_on_bytes = 0;
  std::optional<ReplicaCallResponse> response;
  while (!response) {
    auto message = fixture.messages.pop(20000ms);
    REQUIRE(message);
    if (auto* chunk = std::get_if<ReplicaCallChunk>(&*message)) {
      passed_on_bytes += sizeof(Message) + chunk->text.size();
    } else {
      response = std::get<ReplicaCallResponse>(*message);
    }
  }

  CHECK_FALSE(response->complete);
  CHECK_FALSE(response->reason.empty());
  CHECK(passed_on_bytes + response->body.size() <= 2 * fixture.limits.response_bytes);
}

TEST_CASE("ReplicaClient abandons the largest answers when all together exceed its memory") {
  constexpr int kCalls = 20;
  EndlessReplica replica("HTTP/1.1 200 OK\r\n\r\n", "x");
  Queue<Message> messages;
  // No answer can reach its own limit.
  ReplicaCallLimits limits{100u << 20, 4u << 20, 1u << 20};
  ReplicaClient client([&](Message message) { messages.push(std::move(message)); }, limits);
  for (int call = 0; call < kCalls; ++call) {
    client.send({"a" + std::to_string(call), "app", replica.url + "/x", "POST", "{}", 20000, false});
  }

  for (int call = 0; call < kCalls; ++call) {
    auto message = messages.pop(10000ms);
    REQUIRE(message);
    auto& response = std::get<ReplicaCallResponse>(*message);
    CHECK_FALSE(response.complete);
    CHECK(response.body.size() <= limits.total_bytes);
  }
}

TEST_CASE("ReplicaClient passes on a large answer that ends") {
  const std::string body(6 << 20, 'x');
  OneResponseReplica replica("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\nX-Seal: " + hex(digest(body)) + "\r\n\r\n" + body);
  ReplicaClientFixture fixture;

  auto response = fixture.call(replica.url + "/x", false);

  CHECK(response.complete);
  CHECK(response.body == body);
}

TEST_CASE("ReplicaClient reads nothing while too many messages wait for the state machine") {
  const std::string body = "{\"n\":0,\"text\":\"a\",\"tokens\":1}\n";
  OneResponseReplica replica("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  ReplicaClientFixture fixture;
  fixture.backlog = fixture.limits.backlog_bytes + 1;
  fixture.client.send({"a", "model", replica.url + "/x", "POST", "{}", 5000, false});

  CHECK_FALSE(fixture.messages.pop(300ms));
  fixture.backlog = 0;
  auto message = fixture.messages.pop(3000ms);

  REQUIRE(message);
  CHECK(std::get<ReplicaCallChunk>(*message).text == "a");
}
