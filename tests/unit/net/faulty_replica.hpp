#pragma once
// A replica on a real socket that injects seeded random faults and counts how often it executes each attempt.
#include <sys/epoll.h>

#include <random>

#include "net/http_head.hpp"
#include "socket_peer.hpp"

namespace mosskeel {

/// A record of what all replicas of a test have executed.
struct ReplicaRunLog {
  /// Number of executions of each attempt.
  std::map<std::string, int> runs;
  /// Bodies of the complete responses, by attempt and seal; empty for an execution without a complete response.
  std::map<std::string, std::map<std::string, std::string>> bodies;
  uint64_t last_seal = 0;
};

class FaultyReplica {
 public:
  enum class Fault {
    none,
    surplus_response,
    late_surplus_response,
    late_rejection,
    reset,
    truncated_head,
    truncated_body,
    garbage,
    not_run,
    not_run_without_id,
    misdirected,
    silence,
    half_close,
    id_of_other_attempt,
    no_seal,
    server_error,
    count
  };

  FaultyReplica(EventLoop& loop, ReplicaRunLog& log, uint64_t seed, unsigned fault_percent)
      : loop_(loop), log_(log), random_(seed), fault_percent_(fault_percent) {
    loop_.watch(listening_socket_.get(), EPOLLIN, [this](uint32_t) { accept(); });
  }

  ~FaultyReplica() {
    for (auto timer : timers_) {
      loop_.cancel(timer);
    }
    while (!connections_.empty()) {
      close(connections_.begin()->first);
    }
    loop_.unwatch(listening_socket_.get());
  }

  Address address() const { return bound_address(listening_socket_.get()); }

 private:
  struct Connection {
    Fd socket;
    std::string received;
  };

  /// The possible responses to one execution.
  struct Responses {
    std::string attempt_field;
    std::string seal_field;
    std::string body;

    std::string complete() const { return response("200 OK", attempt_field + seal_field, body); }
    std::string of_other_attempt() const {
      return response("200 OK", "Mosskeel-Attempt-Id: stranger\r\n" + seal_field, body);
    }
    std::string without_seal() const { return response("200 OK", attempt_field, body); }
    std::string server_error() const { return response("500 Broken", attempt_field + seal_field, ""); }
    std::string rejection() const { return response("503 Busy", attempt_field + "Mosskeel-Not-Run: 1\r\n", ""); }
  };

  static std::string response(const std::string& status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static std::string attempt_field(const std::string& attempt) { return "Mosskeel-Attempt-Id: " + attempt + "\r\n"; }

  uint64_t random_below(uint64_t bound) { return random_() % bound; }

  Fault random_fault() {
    if (random_below(100) >= fault_percent_) {
      return Fault::none;
    }
    return static_cast<Fault>(random_below(static_cast<uint64_t>(Fault::count)));
  }

  void accept() {
    while (true) {
      Fd accepted(::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!accepted) {
        return;
      }
      auto connection_id = ++last_connection_;
      auto socket = accepted.get();
      connections_[connection_id].socket = std::move(accepted);
      loop_.watch(socket, EPOLLIN, [this, connection_id](uint32_t) { receive(connection_id); });
    }
  }

  void close(uint64_t connection_id) {
    auto found = connections_.find(connection_id);
    if (found == connections_.end()) {
      return;
    }
    loop_.unwatch(found->second.socket.get());
    connections_.erase(found);
  }

  void reset(uint64_t connection_id) {
    reset_on_close(connections_.at(connection_id).socket.get());
    close(connection_id);
  }

  void send(uint64_t connection_id, const std::string& bytes) {
    auto found = connections_.find(connection_id);
    if (found != connections_.end()) {
      (void)!::send(found->second.socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
  }

  void send_later(uint64_t connection_id, std::string bytes) {
    auto delay = Duration(random_below(10));
    timers_.push_back(
        loop_.run_after(delay, [this, connection_id, bytes = std::move(bytes)] { send(connection_id, bytes); }));
  }

  void receive(uint64_t connection_id) {
    static char buffer[65536];
    auto& connection = connections_.at(connection_id);
    auto count = ::recv(connection.socket.get(), buffer, sizeof buffer, 0);
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count <= 0) {
      close(connection_id);
      return;
    }
    connection.received.append(buffer, static_cast<size_t>(count));
    size_t scanned = 0;
    if (scan_head(connection.received, scanned) != HeadScan::complete) {
      return;
    }
    auto head = parse_request_head(std::string_view(connection.received).substr(0, scanned));
    auto request_size = scanned + head.content_length.value_or(0);
    if (connection.received.size() < request_size) {
      return;
    }
    connection.received.erase(0, request_size);
    auto attempt = std::string(header_value(head.fields, "Mosskeel-Attempt-Id"));
    auto delay = Duration(random_below(20));
    timers_.push_back(loop_.run_after(delay, [this, connection_id, attempt] { respond(connection_id, attempt); }));
  }

  void reject(uint64_t connection_id, const std::string& status, const std::string& fields) {
    send(connection_id, response(status, fields + "Mosskeel-Not-Run: 1\r\n", ""));
  }

  /// Responds to a request, which a fault may reject before it is executed.
  void respond(uint64_t connection_id, const std::string& attempt) {
    if (!connections_.count(connection_id)) {
      return;
    }
    auto fault = random_fault();
    switch (fault) {
      case Fault::not_run:
        return reject(connection_id, "503 Busy", attempt_field(attempt));
      case Fault::not_run_without_id:
        return reject(connection_id, "503 Busy", "");
      case Fault::misdirected:
        return reject(connection_id, "421 Elsewhere", attempt_field(attempt));
      default:
        return execute(connection_id, attempt, fault);
    }
  }

  /// Executes a request and sends its response, as altered by the fault.
  void execute(uint64_t connection_id, const std::string& attempt, Fault fault) {
    ++log_.runs[attempt];
    auto seal = "s" + std::to_string(++log_.last_seal);
    std::string body = attempt + " " + seal + " ";
    body.append(random_below(20) ? random_below(2000) : 300000, static_cast<char>('a' + random_below(26)));
    Responses responses{attempt_field(attempt), "Mosskeel-Server-Seal: " + seal + "\r\n", body};
    // Callers must not accept any other body as the response to this execution.
    auto& complete_body = log_.bodies[attempt][seal];
    auto complete = responses.complete();
    switch (fault) {
      case Fault::reset:
        return reset(connection_id);
      case Fault::truncated_head:
        send(connection_id, complete.substr(0, 20));
        return close(connection_id);
      case Fault::truncated_body:
        send(connection_id, complete.substr(0, complete.size() - 1));
        return close(connection_id);
      case Fault::garbage:
        return send(connection_id, "no answer at all\r\n\r\n");
      case Fault::silence:
        return;
      case Fault::id_of_other_attempt:
        return send(connection_id, responses.of_other_attempt());
      case Fault::no_seal:
        return send(connection_id, responses.without_seal());
      case Fault::server_error:
        return send(connection_id, responses.server_error());
      default:
        break;
    }
    complete_body = body;
    send(connection_id, complete);
    if (fault == Fault::surplus_response) {
      send(connection_id, complete);
    } else if (fault == Fault::late_surplus_response) {
      send_later(connection_id, complete);
    } else if (fault == Fault::late_rejection) {
      send_later(connection_id, responses.rejection());
    } else if (fault == Fault::half_close) {
      ::shutdown(connections_.at(connection_id).socket.get(), SHUT_WR);
    }
  }

  EventLoop& loop_;
  ReplicaRunLog& log_;
  std::mt19937_64 random_;
  unsigned fault_percent_;
  Fd listening_socket_ = listening_socket();
  std::map<uint64_t, Connection> connections_;
  std::vector<uint64_t> timers_;
  uint64_t last_connection_ = 0;
};

}  // namespace mosskeel
