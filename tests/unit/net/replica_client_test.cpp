// What libcurl must not do behind our back, and what a broken replica looks like.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>

#include "net/replica_client.hpp"
#include "storage/disk.hpp"

using namespace mosskeel;

namespace {

/// Answers the first request of a connection with `first`, and hangs up on every later one unanswered.
class Server {
 public:
  explicit Server(std::string first) : first_(std::move(first)), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof a;
    REQUIRE(::bind(fd_.get(), reinterpret_cast<sockaddr*>(&a), n) == 0);
    REQUIRE(::listen(fd_.get(), 16) == 0);
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&a), &n);
    url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
    thread_ = std::thread([this] { run(); });
  }
  ~Server() {
    stop_ = true;
    thread_.join();
  }
  std::string url;
  std::atomic<int> asked{0}, sessions{0};

 private:
  bool readable(int fd) {
    pollfd p{fd, POLLIN, 0};
    return ::poll(&p, 1, 20) > 0;
  }
  void run() {
    std::map<int, std::pair<Fd, int>> open;
    while (!stop_) {
      if (readable(fd_.get())) {
        Fd c(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        ++sessions;
        int k = c.get();
        open[k] = {std::move(c), 0};
      }
      for (auto i = open.begin(); i != open.end();) {
        char b[8192];
        bool bye = false;
        if (readable(i->first)) {
          auto n = ::recv(i->first, b, sizeof b, 0);
          bye = n <= 0;
          if (n > 0) {
            ++asked;
            if (i->second.second++ == 0 && !first_.empty())
              bye = ::send(i->first, first_.data(), first_.size(), MSG_NOSIGNAL) < 0;
            else
              bye = true;
          }
        }
        i = bye ? open.erase(i) : std::next(i);
      }
    }
  }
  std::string first_;
  Fd fd_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct Asker {
  Queue<Message> heard;
  ReplicaClient up{[this](Message m) {
    heard.push(std::move(m));
  }};
  ReplicaCallResponse ask(const std::string& url, bool repeatable, const std::string& kind = "app") {
    up.send(
        {"a" + std::to_string(++n), kind, url, repeatable ? "GET" : "POST", repeatable ? "" : "{}", 5000, repeatable});
    while (true) {
      auto m = heard.pop(20000);
      REQUIRE(m);
      if (auto* e = std::get_if<ReplicaCallResponse>(&*m))
        return *e;
    }
  }
  int n = 0;
};

const char* const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Seal: ";

}  // namespace

TEST_CASE("what may not be repeated never rides on a used session, which libcurl would resend on") {
  Server s(whole + hex(digest("ok")) + "\r\n\r\nok");
  Asker a;
  CHECK(a.ask(s.url + "/x", true).complete);
  auto e = a.ask(s.url + "/count", false);
  CHECK(e.complete);
  CHECK(s.asked == 2);
  CHECK(s.sessions == 2);
}

TEST_CASE("an ask whose answer is lost is sent once and known as sent") {
  Server s("");
  Asker a;
  auto e = a.ask(s.url + "/count", false);
  CHECK(e.request_sent);
  CHECK_FALSE(e.complete);
  CHECK_FALSE(e.reason.empty());
  CHECK(s.asked == 1);
}

TEST_CASE("where nobody listens nothing was sent") {
  std::string url;
  {
    Server s("");
    url = s.url;
  }
  Asker a;
  auto e = a.ask(url + "/count", false);
  CHECK_FALSE(e.request_sent);
}

TEST_CASE("cut, unsealed and garbled answers are never sealed") {
  const char* const answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Seal: 0\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
      "nonsense\r\n\r\n",
  };
  for (auto* x : answers) {
    Server s(x);
    Asker a;
    INFO(x);
    auto e = a.ask(s.url + "/count", false);
    CHECK_FALSE((e.complete && e.status == 200));
  }
  Server s("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"n\":0,\"text\":\"a\"}\nnot json!!!\n");
  Asker a;
  CHECK_FALSE(a.ask(s.url + "/turn", false, "model").complete);
}
