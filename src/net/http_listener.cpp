#include "net/http_listener.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "net/endpoint.hpp"

namespace mosskeel {
namespace {

constexpr size_t kReadBufferBytes = 64 << 10;
/// Accepting is retried after this delay, when other connections may have released file descriptors.
constexpr Duration kAcceptRetryDelay = 100ms;

}  // namespace

Result<std::unique_ptr<HttpListener>> HttpListener::open(EventLoop& loop, const Address& address, Callbacks callbacks,
                                                         int send_buffer) {
  auto socket = listen_on(address);
  if (!socket.ok()) {
    return socket.errors();
  }
  if (send_buffer) {
    // Accepted sockets inherit this option.
    set_socket_option(socket.value().get(), SOL_SOCKET, SO_SNDBUF, send_buffer);
  }
  return std::unique_ptr<HttpListener>(new HttpListener(loop, std::move(callbacks), std::move(socket).value()));
}

HttpListener::HttpListener(EventLoop& loop, Callbacks callbacks, Fd listening_socket)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      listening_socket_(std::move(listening_socket)),
      read_buffer_(kReadBufferBytes),
      self_(std::make_shared<HttpListener*>(this)) {
  resume_accepting();
}

HttpListener::~HttpListener() {
  if (listening_socket_) {
    loop_.unwatch(listening_socket_.get());
  }
  while (!connections_.empty()) {
    auto connection = connections_.begin()->second;
    connection->close();
  }
}

Address HttpListener::local_address() const {
  return bound_address(listening_socket_.get());
}

void HttpListener::resume_accepting() {
  loop_.watch(listening_socket_.get(), EPOLLIN, [this](uint32_t) { accept_connections(); });
}

void HttpListener::pause_accepting() {
  loop_.set_events(listening_socket_.get(), 0);
  loop_.run_after(kAcceptRetryDelay, [this, weak_self = std::weak_ptr(self_)] {
    if (weak_self.lock() && listening_socket_) {
      loop_.set_events(listening_socket_.get(), EPOLLIN);
    }
  });
}

void HttpListener::accept_connections() {
  while (true) {
    Fd socket(::accept4(listening_socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket) {
      add_connection(std::move(socket));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    if (errno != EAGAIN) {
      pause_accepting();
    }
    return;
  }
}

void HttpListener::add_connection(Fd socket) {
  if (connections_.size() >= limits_.max_connections) {
    return;
  }
  set_socket_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
  auto connection =
      std::make_shared<HttpServerConnection>(loop_, static_cast<HttpConnectionOwner&>(*this), std::move(socket));
  connections_.emplace(connection.get(), connection);
  connection->start();
}

std::shared_ptr<HttpServerConnection> HttpListener::find(uint64_t exchange) const {
  auto found = exchanges_.find(exchange);
  return found == exchanges_.end() ? nullptr : found->second;
}

void HttpListener::send_head(uint64_t exchange, uint32_t status, const HeaderFields& fields,
                             std::optional<uint64_t> content_length) {
  if (auto connection = find(exchange)) {
    connection->send_head(status, fields, content_length);
  }
}

void HttpListener::send_body(uint64_t exchange, std::string_view bytes) {
  if (auto connection = find(exchange)) {
    connection->send_body(bytes);
  }
}

void HttpListener::finish(uint64_t exchange) {
  if (auto connection = find(exchange)) {
    connection->finish_response();
  }
}

void HttpListener::send_response(uint64_t exchange, uint32_t status, const HeaderFields& fields,
                                 std::string_view body) {
  send_head(exchange, status, fields, body.size());
  send_body(exchange, body);
  finish(exchange);
}

void HttpListener::abort(uint64_t exchange) {
  if (auto connection = find(exchange)) {
    connection->reset();
  }
}

size_t HttpListener::unsent_bytes(uint64_t exchange) const {
  auto connection = find(exchange);
  return connection ? connection->unsent_bytes() : 0;
}

size_t HttpListener::unsent_bytes() const {
  size_t bytes = 0;
  for (const auto& [_, connection] : exchanges_) {
    bytes += connection->unsent_bytes();
  }
  return bytes;
}

void HttpListener::drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  close_after_responses_ = true;
  loop_.unwatch(listening_socket_.get());
  listening_socket_ = Fd();
  for (const auto& [_, connection] : connections_) {
    connection->close_if_idle();
  }
}

bool HttpListener::count_body_bytes(size_t counted, size_t bytes) {
  body_bytes_ = body_bytes_ - counted + bytes;
  return bytes <= counted || body_bytes_ <= limits_.max_total_body_bytes;
}

uint64_t HttpListener::open_exchange(std::shared_ptr<HttpServerConnection> connection) {
  auto exchange = ++last_exchange_;
  exchanges_.emplace(exchange, std::move(connection));
  return exchange;
}

void HttpListener::on_request(uint64_t exchange, HttpRequest&& request) {
  callbacks_.on_request(exchange, std::move(request));
}

void HttpListener::on_disconnected(uint64_t exchange) {
  if (callbacks_.on_disconnected) {
    callbacks_.on_disconnected(exchange);
  }
}

void HttpListener::on_drained(uint64_t exchange) {
  if (callbacks_.on_drained) {
    callbacks_.on_drained(exchange);
  }
}

void HttpListener::schedule_flush(std::shared_ptr<HttpServerConnection> connection) {
  scheduled_flushes_.push_back(std::move(connection));
  if (std::exchange(flush_posted_, true)) {
    return;
  }
  loop_.post([weak_self = std::weak_ptr(self_)] {
    if (auto self = weak_self.lock()) {
      (*self)->flush_scheduled();
    }
  });
}

void HttpListener::flush_scheduled() {
  // A flush may read the next pipelined request, whose response must then be flushed as well.
  while (!scheduled_flushes_.empty()) {
    for (auto& connection : std::exchange(scheduled_flushes_, {})) {
      connection->flush_now();
    }
  }
  flush_posted_ = false;
}

}  // namespace mosskeel
