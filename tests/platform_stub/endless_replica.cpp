#include "platform_stub/endless_replica.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>

#include "net/endpoint.hpp"
#include "net/http_head.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr int kListenBacklog = 1000;
constexpr size_t kReadBytes = 16384;
/// The repeated bytes are one send's worth.
constexpr size_t kRepeatedBytes = 64 << 10;
/// Bytes of the data of one event.
constexpr size_t kEventDataBytes = 1000;
constexpr const char* kHugeSize = "100000000000000";
constexpr const char* kHugeChunkSize = "ffffffffffff";

std::string repeat(const std::string& unit) {
  std::string repeated;
  while (repeated.size() < kRepeatedBytes)
    repeated += unit;
  return repeated;
}

/// What an answer consists of.
struct Script {
  std::string framing_field;
  /// Follows the head.
  std::string body_begin;
  std::string repeated;
  std::string tail;
};

/// The parts of an answer that never ends.
Script endless_script(EndlessForm form) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string event = "data: " + std::string(kEventDataBytes, 'e') + "\n\n";
  switch (form) {
    case EndlessForm::header_line:
      return {"X-Endless: ", "", repeat("h"), ""};
    case EndlessForm::interim_responses:
      return {"", "", repeat("HTTP/1.1 102 Processing\r\n\r\n"), ""};
    case EndlessForm::chunk_size_junk:
      return {chunked, "", repeat("5;x"), ""};
    case EndlessForm::one_chunk:
      return {chunked, std::string(kHugeChunkSize) + "\r\n", repeat("x"), ""};
    case EndlessForm::one_byte_chunks:
      return {chunked, "", repeat("1\r\nx\r\n"), ""};
    case EndlessForm::trailers:
      return {chunked, "1\r\nx\r\n0\r\n", repeat("X-Trailer: t\r\n"), ""};
    case EndlessForm::huge_length:
      return {std::string("Content-Length: ") + kHugeSize + "\r\n", "", repeat("x"), ""};
    case EndlessForm::without_length:
      return {"Connection: close\r\n", "", repeat("x"), ""};
    case EndlessForm::lines_of_one_event:
      return {"Connection: close\r\n", "", repeat("data: line\n"), ""};
    case EndlessForm::whole_events:
      return {"Connection: close\r\n", "", repeat(event), ""};
  }
  return {};
}

/// The parts of an answer whose body has this many bytes.
Script bounded_script(EndlessForm form, size_t body_bytes) {
  auto script = endless_script(form);
  if (form == EndlessForm::huge_length) {
    script.framing_field = "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  } else if (form == EndlessForm::one_chunk) {
    char size[32];
    snprintf(size, sizeof size, "%zx\r\n", body_bytes);
    script.body_begin = size;
    script.tail = "\r\n0\r\n\r\n";
  } else {
    // One event, whose data is the body.
    constexpr std::string_view begin = "data: ";
    constexpr std::string_view end = "\n\n";
    script.framing_field = "Content-Length: " + std::to_string(begin.size() + body_bytes + end.size()) + "\r\n";
    script.body_begin = begin;
    script.repeated = repeat("e");
    script.tail = end;
  }
  return script;
}

std::string head_of(const EndlessAnswer& answer, const Script& script, const std::string& attempt) {
  if (answer.form == EndlessForm::interim_responses)
    return "";
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " Endless\r\n";
  head += "Mosskeel-Attempt-Id: " + attempt + "\r\n";
  head += "Mosskeel-Server-Seal: endless." + attempt + "\r\n";
  head += "Content-Type: text/event-stream\r\n";
  head += script.framing_field;
  if (answer.form != EndlessForm::header_line)
    head += "\r\n";
  return head + script.body_begin;
}

}  // namespace

const char* name(EndlessForm form) {
  constexpr std::array names = {"header_line",        "interim_responses", "chunk_size_junk", "one_chunk",
                                "one_byte_chunks",    "trailers",          "huge_length",     "without_length",
                                "lines_of_one_event", "whole_events"};
  return names[static_cast<size_t>(form)];
}

ListedReplica EndlessReplica::listen(ListedReplica listed_replica, Fd& listening_socket) {
  if (listed_replica.address.empty())
    listed_replica.address = "127.0.0.1:0";
  listening_socket = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  auto endpoint = parse_endpoint(listed_replica.address);
  int socket = listening_socket.get();
  set_socket_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (!endpoint || ::bind(socket, reinterpret_cast<sockaddr*>(&endpoint->storage), endpoint->length) != 0 ||
      ::listen(socket, kListenBacklog) != 0) {
    fprintf(stderr, "cannot listen at %s\n", listed_replica.address.c_str());
    exit(2);
  }
  listed_replica.address = bound_address(socket);
  return listed_replica;
}

EndlessReplica::EndlessReplica(ListedReplica listed_replica, EndlessAnswer answer)
    : listed(listen(std::move(listed_replica), listening_socket_)), answer_(answer) {
  loop_.watch(listening_socket_.get(), EPOLLIN, [this](uint32_t) { accept_connections(); });
  thread_ = std::thread([this] { loop_.run(); });
}

EndlessReplica::~EndlessReplica() {
  loop_.stop();
  thread_.join();
}

void EndlessReplica::set_answer(EndlessAnswer answer) {
  std::lock_guard lock(mutex_);
  answer_ = answer;
}

std::map<std::string, int> EndlessReplica::executions() const {
  std::lock_guard lock(mutex_);
  return executions_;
}

uint64_t EndlessReplica::sent_bytes() const {
  std::lock_guard lock(mutex_);
  return sent_bytes_;
}

void EndlessReplica::accept_connections() {
  for (;;) {
    int socket = ::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0)
      return;
    connections_[socket].socket = Fd(socket);
    loop_.watch(socket, EPOLLIN, [this, socket](uint32_t events) { on_ready(socket, events); });
  }
}

void EndlessReplica::on_ready(int socket, uint32_t events) {
  auto& connection = connections_.at(socket);
  if ((events & (EPOLLERR | EPOLLHUP)) != 0)
    return close(socket);
  if (connection.repeated.empty())
    return receive(socket);
  if (!send_more(connection))
    close(socket);
}

void EndlessReplica::receive(int socket) {
  std::array<char, kReadBytes> buffer{};
  auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
  if (count < 0 && errno == EAGAIN)
    return;
  if (count <= 0)
    return close(socket);
  auto& connection = connections_.at(socket);
  connection.received.append(buffer.data(), static_cast<size_t>(count));
  size_t head_bytes = 0;
  if (scan_head(connection.received, head_bytes) != HeadScan::complete)
    return;
  auto head = parse_request_head(std::string_view(connection.received).substr(0, head_bytes));
  if (connection.received.size() < head_bytes + head.content_length.value_or(0))
    return;
  connection.received.clear();
  begin_answer(connection, std::string(header_value(head.fields, "Mosskeel-Attempt-Id")));
  loop_.set_events(socket, EPOLLOUT);
}

void EndlessReplica::begin_answer(Connection& connection, const std::string& attempt) {
  std::lock_guard lock(mutex_);
  ++executions_[attempt];
  bool is_bounded = answer_.body_bytes > 0;
  auto script = is_bounded ? bounded_script(answer_.form, answer_.body_bytes) : endless_script(answer_.form);
  connection.head = head_of(answer_, script, attempt);
  connection.repeated = std::move(script.repeated);
  connection.tail = std::move(script.tail);
  connection.offset = 0;
  connection.remaining = is_bounded ? std::optional(answer_.body_bytes) : std::nullopt;
}

bool EndlessReplica::send_more(Connection& connection) {
  bool is_head = !connection.head.empty();
  bool is_tail = !is_head && connection.remaining == size_t{0};
  auto bytes = std::string_view(connection.repeated).substr(connection.offset);
  if (is_head)
    bytes = connection.head;
  else if (is_tail)
    bytes = connection.tail;
  else if (connection.remaining)
    bytes = bytes.substr(0, *connection.remaining);
  if (bytes.empty()) {
    // The answer is complete: the next request is awaited.
    connection.repeated.clear();
    loop_.set_events(connection.socket.get(), EPOLLIN);
    return true;
  }
  auto sent = ::send(connection.socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0)
    return errno == EAGAIN || errno == EINTR;
  auto count = static_cast<size_t>(sent);
  if (is_head) {
    connection.head.erase(0, count);
  } else if (is_tail) {
    connection.tail.erase(0, count);
  } else {
    connection.offset = (connection.offset + count) % connection.repeated.size();
    if (connection.remaining)
      *connection.remaining -= count;
  }
  std::lock_guard lock(mutex_);
  sent_bytes_ += count;
  return true;
}

void EndlessReplica::close(int socket) {
  loop_.unwatch(socket);
  connections_.erase(socket);
}

}  // namespace mosskeel::platform_stub
