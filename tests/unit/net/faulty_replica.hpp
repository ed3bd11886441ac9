#pragma once
// A replica on a real socket that spoils its answers by seed and counts what it ran by attempt.
#include <random>

#include "net/http_head.hpp"
#include "socket_peer.hpp"

namespace mosskeel {

/// What became of attempts at all replicas of a test.
struct RunLedger {
  std::map<std::string, int> runs;
  /// The body that was made for an attempt, by seal.
  std::map<std::string, std::map<std::string, std::string>> bodies;
  uint64_t seals = 0;
};

class FaultyReplica {
 public:
  enum class Fault {
    none,
    surplus,
    late_surplus,
    late_refusal,
    reset,
    cut_head,
    cut_body,
    garbage,
    not_run,
    not_run_without_id,
    misdirected,
    silence,
    half_close,
    other_id,
    no_seal,
    failure,
    count
  };
  FaultyReplica(EventLoop& loop, RunLedger& ledger, uint64_t seed, unsigned fault_percent)
      : loop_(loop), ledger_(ledger), random_(seed), fault_percent_(fault_percent) {
    auto e = parse_endpoint("127.0.0.1:0");
    REQUIRE(::bind(listening_.get(), reinterpret_cast<sockaddr*>(&e->storage), e->length) == 0);
    REQUIRE(::listen(listening_.get(), 100) == 0);
    loop_.watch(listening_.get(), EPOLLIN, [this](uint32_t) { accept(); });
  }
  ~FaultyReplica() {
    for (auto timer : timers_)
      loop_.cancel(timer);
    while (!sessions_.empty())
      close(sessions_.begin()->first);
    loop_.unwatch(listening_.get());
  }
  Address at() const { return bound_address(listening_.get()); }

 private:
  struct Session {
    Fd fd;
    std::string in;
  };
  uint64_t roll(uint64_t n) { return random_() % n; }
  void accept() {
    for (;;) {
      Fd fd(::accept4(listening_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd)
        return;
      auto id = ++last_;
      auto raw = fd.get();
      sessions_[id].fd = std::move(fd);
      loop_.watch(raw, EPOLLIN, [this, id](uint32_t) { receive(id); });
    }
  }
  void close(uint64_t id) {
    auto i = sessions_.find(id);
    if (i == sessions_.end())
      return;
    loop_.unwatch(i->second.fd.get());
    sessions_.erase(i);
  }
  void reset(uint64_t id) {
    linger l{1, 0};
    ::setsockopt(sessions_.at(id).fd.get(), SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close(id);
  }
  void say(uint64_t id, const std::string& s) {
    auto i = sessions_.find(id);
    if (i != sessions_.end())
      (void)!::send(i->second.fd.get(), s.data(), s.size(), MSG_NOSIGNAL);
  }
  void receive(uint64_t id) {
    static char buffer[65536];
    auto& s = sessions_.at(id);
    auto n = ::recv(s.fd.get(), buffer, sizeof buffer, 0);
    if (n < 0 && errno == EAGAIN)
      return;
    if (n <= 0)
      return close(id);
    s.in.append(buffer, static_cast<size_t>(n));
    size_t scanned = 0;
    if (scan_head(s.in, scanned) != HeadScan::complete)
      return;
    auto head = parse_request_head(std::string_view(s.in).substr(0, scanned));
    if (s.in.size() < scanned + head.content_length.value_or(0))
      return;
    s.in.erase(0, scanned + head.content_length.value_or(0));
    auto attempt = std::string(header_value(head.fields, "Mosskeel-Attempt-Id"));
    auto delay = static_cast<Millis>(roll(20));
    timers_.push_back(loop_.run_after(delay, [this, id, attempt] { answer(id, attempt); }));
  }
  static std::string head(const std::string& status, const std::string& fields, size_t length) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  void refuse(uint64_t id, const std::string& status, const std::string& attempt) {
    auto name = attempt.empty() ? "" : "Mosskeel-Attempt-Id: " + attempt + "\r\n";
    say(id, head(status, name + "Mosskeel-Not-Run: 1\r\n", 0));
  }
  void answer(uint64_t id, const std::string& attempt) {
    if (!sessions_.count(id))
      return;
    auto fault =
        roll(100) < fault_percent_ ? static_cast<Fault>(roll(static_cast<uint64_t>(Fault::count))) : Fault::none;
    if (fault == Fault::not_run)
      return refuse(id, "503 Busy", attempt);
    if (fault == Fault::not_run_without_id)
      return refuse(id, "503 Busy", "");
    if (fault == Fault::misdirected)
      return refuse(id, "421 Elsewhere", attempt);
    ++ledger_.runs[attempt];
    auto seal = "s" + std::to_string(++ledger_.seals);
    std::string body = attempt + " " + seal + " ";
    body.append(roll(20) ? roll(2000) : 300000, static_cast<char>('a' + roll(26)));
    auto name = "Mosskeel-Attempt-Id: " + attempt + "\r\n", sealed = "Mosskeel-Server-Seal: " + seal + "\r\n";
    auto whole = head("200 OK", name + sealed, body.size()) + body;
    auto stranger = head("200 OK", "Mosskeel-Attempt-Id: stranger\r\n" + sealed, body.size()) + body;
    auto& made = ledger_.bodies[attempt][seal];
    switch (fault) {
      case Fault::reset:
        return reset(id);
      case Fault::cut_head:
        say(id, whole.substr(0, 20));
        return close(id);
      case Fault::cut_body:
        say(id, whole.substr(0, whole.size() - 1));
        return close(id);
      case Fault::garbage:
        return say(id, "no answer at all\r\n\r\n");
      case Fault::silence:
        return;
      case Fault::other_id:
        return say(id, stranger);
      case Fault::no_seal:
        return say(id, head("200 OK", name, body.size()) + body);
      case Fault::failure:
        return say(id, head("500 Broken", name + sealed, 0));
      default:
        break;
    }
    made = body;
    say(id, whole);
    auto again = fault == Fault::late_refusal ? head("503 Busy", name + "Mosskeel-Not-Run: 1\r\n", 0) : whole;
    if (fault == Fault::surplus)
      say(id, again);
    if (fault == Fault::late_surplus || fault == Fault::late_refusal)
      timers_.push_back(loop_.run_after(static_cast<Millis>(roll(10)), [this, id, again] { say(id, again); }));
    if (fault == Fault::half_close)
      ::shutdown(sessions_.at(id).fd.get(), SHUT_WR);
  }

  EventLoop& loop_;
  RunLedger& ledger_;
  std::mt19937_64 random_;
  unsigned fault_percent_;
  Fd listening_{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  std::map<uint64_t, Session> sessions_;
  std::vector<uint64_t> timers_;
  uint64_t last_ = 0;
};

}  // namespace mosskeel
