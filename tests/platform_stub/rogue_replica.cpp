#include "platform_stub/rogue_replica.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>

#include "net/endpoint.hpp"
#include "net/http_head.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr int kListenBacklog = 100;
constexpr size_t kReadBytes = 16384;
/// How many bytes of its body a truncated response lacks.
constexpr size_t kTruncatedBytes = 5;
/// By how much a late response follows the proper one.
constexpr Duration kLateResponseDelay = 30ms;

/// @param seal none where it is empty.
std::string make_response(const std::string& attempt, const std::string& seal, const std::string& body) {
  std::string response = "HTTP/1.1 200 OK\r\n";
  response += "Mosskeel-Attempt-Id: " + attempt + "\r\n";
  if (!seal.empty())
    response += "Mosskeel-Server-Seal: " + seal + "\r\n";
  response += "Keep-Alive: timeout=1\r\n";
  response += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return response + body;
}

}  // namespace

RogueReplica::RogueReplica(Environment& environment, ListedReplica listed_replica)
    : listed(std::move(listed_replica)),
      environment_(environment),
      listening_socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  auto endpoint = parse_endpoint(listed.address);
  int socket = listening_socket_.get();
  set_socket_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (!endpoint || ::bind(socket, reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) != 0 ||
      ::listen(socket, kListenBacklog) != 0) {
    fprintf(stderr, "standin: cannot listen at %s\n", listed.address.c_str());
    exit(2);
  }
  environment_.loop.watch(socket, EPOLLIN, [this](uint32_t) { accept_connections(); });
}

RogueReplica::~RogueReplica() {
  environment_.loop.unwatch(listening_socket_.get());
  for (auto& [socket, connection] : connections_)
    environment_.loop.unwatch(socket);
}

void RogueReplica::accept_connections() {
  for (;;) {
    int socket = ::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0)
      return;
    connections_[socket].socket = Fd(socket);
    environment_.loop.watch(socket, EPOLLIN, [this, socket](uint32_t) { receive(socket); });
  }
}

void RogueReplica::receive(int socket) {
  std::array<char, kReadBytes> buffer{};
  auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
  if (count < 0 && errno == EAGAIN)
    return;
  if (count <= 0) {
    close(socket);
    return;
  }
  auto& received = connections_.at(socket).received;
  received.append(buffer.data(), static_cast<size_t>(count));
  if (auto request = take_request(received))
    respond(socket, *request);
}

std::optional<HttpRequest> RogueReplica::take_request(std::string& received) {
  size_t head_bytes = 0;
  if (scan_head(received, head_bytes) != HeadScan::complete)
    return std::nullopt;
  auto head = parse_request_head(std::string_view(received).substr(0, head_bytes));
  auto body_bytes = head.content_length.value_or(0);
  if (received.size() < head_bytes + body_bytes)
    return std::nullopt;
  HttpRequest request{head.method, head.target, "", head.fields, received.substr(head_bytes, body_bytes)};
  received.clear();
  return request;
}

void RogueReplica::respond(int socket, const HttpRequest& request) {
  std::string attempt(header_value(request.fields, "Mosskeel-Attempt-Id"));
  environment_.checker.on_executed(attempt, listed.service, request);
  auto seal = environment_.random_name();
  auto body = "rogue for " + attempt;
  auto proper = make_response(attempt, seal, body);
  auto foreign = make_response("f" + attempt, seal, body);
  switch (static_cast<Behaviour>(requests_++ % kBehaviours)) {
    case Behaviour::surplus_response:
      environment_.checker.on_response_made(attempt, seal, body);
      send(socket, proper + foreign);
      break;
    case Behaviour::foreign_response:
      send(socket, foreign);
      break;
    case Behaviour::garbage:
      send(socket, "this is no answer\r\n\r\n");
      break;
    case Behaviour::truncated_body:
      send(socket, proper.substr(0, proper.size() - kTruncatedBytes));
      close(socket);
      break;
    case Behaviour::closed_connection:
      close(socket);
      break;
    case Behaviour::late_response:
      environment_.checker.on_response_made(attempt, seal, body);
      send(socket, proper);
      environment_.loop.run_after(kLateResponseDelay, [this, socket, foreign] {
        if (connections_.count(socket) > 0)
          send(socket, foreign);
      });
      break;
    case Behaviour::unsealed_response:
      send(socket, make_response(attempt, "", body));
      break;
    case Behaviour::proper_response:
      environment_.checker.on_response_made(attempt, seal, body);
      send(socket, proper);
      break;
  }
}

void RogueReplica::send(int socket, const std::string& bytes) {
  // What the kernel does not take is lost, which is one more fault.
  [[maybe_unused]] auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RogueReplica::close(int socket) {
  environment_.loop.unwatch(socket);
  connections_.erase(socket);
}

}  // namespace mosskeel::platform_stub
