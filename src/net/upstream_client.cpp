#include "net/upstream_client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/endpoint.hpp"
#include "net/http_fields.hpp"
#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

/// Small, because a response still delivers this much after its reading is paused.
constexpr size_t kUpstreamReadBufferBytes = 16 << 10;
/// TCP_USER_TIMEOUT in milliseconds: a replica that acknowledges no data for this long counts as unreachable.
constexpr int kTcpUserTimeoutMilliseconds = 3000;

bool is_printable(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char character) { return character > 0x20 && character < 0x7f; });
}

bool always_has_content_length(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

bool is_framing_field(const HeaderField& field) {
  return equals_ignoring_case(field.name, "Content-Length") || equals_ignoring_case(field.name, "Transfer-Encoding");
}

/// Serializes the request; returns no value if a field would change its framing.
std::optional<std::string> serialize(const UpstreamRequest& request) {
  if (!is_printable(request.method) || !is_printable(request.target)) {
    return std::nullopt;
  }
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& field : request.fields) {
    if (!is_valid_field(field)) {
      return std::nullopt;
    }
    if (!is_framing_field(field)) {
      bytes += field.name + ": " + field.value + "\r\n";
    }
  }
  if (!request.body.empty() || always_has_content_length(request.method)) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

}  // namespace

UpstreamClient::UpstreamClient(EventLoop& loop, Callbacks callbacks)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      read_buffer_(kUpstreamReadBufferBytes),
      self_(std::make_shared<UpstreamClient*>(this)) {}

UpstreamClient::~UpstreamClient() {
  while (!connections_.empty()) {
    auto connection = connections_.begin()->second;
    connection->close();
  }
}

uint64_t UpstreamClient::send_request(Request request) {
  auto id = ++last_request_;
  auto bytes = serialize(request);
  if (!bytes) {
    fail_later(id, "request malformed");
    return id;
  }
  if (!request.new_connection) {
    if (auto connection = pool_.take(request.address, request.max_idle)) {
      requests_.emplace(id, connection);
      connection->assign(id, request, std::move(*bytes));
      connection->send();
      return id;
    }
  }
  auto opened = open_connection(request.address);
  if (!opened.connection) {
    fail_later(id, std::move(opened.error));
    return id;
  }
  requests_.emplace(id, opened.connection);
  opened.connection->assign(id, request, std::move(*bytes));
  opened.connection->connect(request.connect_timeout);
  return id;
}

UpstreamClient::OpenResult UpstreamClient::open_connection(const Address& address) {
  auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return {nullptr, "not an address: " + address};
  }
  Fd socket(::socket(endpoint->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) {
    return {nullptr, std::string("socket: ") + std::strerror(errno)};
  }
  set_socket_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
  set_socket_option(socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMilliseconds);
  ++connections_opened_;
  const auto* socket_address = reinterpret_cast<const sockaddr*>(&endpoint->storage);
  if (::connect(socket.get(), socket_address, endpoint->length) != 0 && errno != EINPROGRESS) {
    return {nullptr, std::string("connect: ") + std::strerror(errno)};
  }
  auto& owner = static_cast<UpstreamConnectionOwner&>(*this);
  auto connection = std::make_shared<UpstreamConnection>(loop_, owner, address, std::move(socket));
  connections_.emplace(connection.get(), connection);
  return {std::move(connection), {}};
}

void UpstreamClient::fail_later(uint64_t request, std::string reason) {
  requests_.emplace(request, nullptr);
  loop_.post([this, request, reason = std::move(reason), weak_self = std::weak_ptr(self_)] {
    bool still_pending = weak_self.lock() && requests_.contains(request);
    if (still_pending) {
      on_failure(request, Delivery::not_sent, reason);
    }
  });
}

std::shared_ptr<UpstreamConnection> UpstreamClient::find(uint64_t request) const {
  auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : found->second;
}

void UpstreamClient::cancel(uint64_t request) {
  auto connection = find(request);
  requests_.erase(request);
  if (connection) {
    connection->close();
  }
}

void UpstreamClient::skip_response(uint64_t request) {
  if (auto connection = find(request)) {
    connection->skip_response();
  }
}

void UpstreamClient::pause_reading(uint64_t request) {
  if (auto connection = find(request)) {
    connection->pause_reading();
  }
}

void UpstreamClient::resume_reading(uint64_t request) {
  if (auto connection = find(request)) {
    connection->resume_reading();
  }
}

void UpstreamClient::retire_connections(const Address& address) {
  std::vector<std::shared_ptr<UpstreamConnection>> idle;
  for (const auto& [_, connection] : connections_) {
    if (connection->address() != address) {
      continue;
    }
    connection->forbid_reuse();
    if (connection->idle()) {
      idle.push_back(connection);
    }
  }
  for (const auto& connection : idle) {
    connection->close();
  }
}

void UpstreamClient::on_head(uint64_t request, ResponseHead&& head) {
  if (callbacks_.on_head) {
    callbacks_.on_head(request, std::move(head));
  }
}

void UpstreamClient::on_body(uint64_t request, std::string_view bytes) {
  if (callbacks_.on_body) {
    callbacks_.on_body(request, bytes);
  }
}

void UpstreamClient::on_complete(uint64_t request) {
  requests_.erase(request);
  if (callbacks_.on_complete) {
    callbacks_.on_complete(request);
  }
}

void UpstreamClient::on_failure(uint64_t request, Delivery delivery, std::string reason) {
  requests_.erase(request);
  if (callbacks_.on_failure) {
    callbacks_.on_failure(request, delivery, std::move(reason));
  }
}

void UpstreamClient::on_malformed(uint64_t request) {
  if (callbacks_.on_malformed) {
    callbacks_.on_malformed(request);
  }
}

void UpstreamClient::on_closed(UpstreamConnection& connection) {
  pool_.remove(connection);
  connections_.erase(&connection);
}

}  // namespace mosskeel
