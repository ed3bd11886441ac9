#include "net/http_server.hpp"

#include <microhttpd.h>

#include <nlohmann/json.hpp>

#include "net/constants.hpp"
#include "net/endpoint.hpp"

namespace mosskeel {
namespace {

constexpr size_t kStreamBlockBytes = 32 << 10;
/// The handlers need little stack; with the default size, 2,000 connections would reserve 16 GB of address space.
constexpr size_t kConnectionStackBytes = 256 << 10;

/// A request that libmicrohttpd is delivering piece by piece.
struct PendingRequest {
  ApiRequest request;
  bool body_too_long = false;
};

/// A streamed response that is being sent.
struct ResponseStream {
  ApiResponse response;
  /// Bytes produced by the response that libmicrohttpd has not read yet.
  std::string unread;
};

MHD_Result collect_value(void* values, MHD_ValueKind, const char* name, const char* value) {
  std::string key = name;
  for (auto& character : key) {
    character = static_cast<char>(tolower(character));
  }
  (*static_cast<std::map<std::string, std::string>*>(values))[key] = value ? value : "";
  return MHD_YES;
}

ssize_t read_stream(void* context, uint64_t, char* buffer, size_t size) {
  auto& stream = *static_cast<ResponseStream*>(context);
  while (stream.unread.empty()) {
    auto state = stream.response.next_chunk(stream.unread);
    if (!stream.unread.empty()) {
      break;
    }
    if (state == ApiResponse::StreamState::finished) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (state == ApiResponse::StreamState::aborted) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  }
  auto count = std::min(size, stream.unread.size());
  stream.unread.copy(buffer, count);
  stream.unread.erase(0, count);
  return static_cast<ssize_t>(count);
}

void delete_stream(void* context) {
  delete static_cast<ResponseStream*>(context);
}

MHD_Response* create_response(ApiResponse response) {
  if (response.next_chunk) {
    auto* stream = new ResponseStream{std::move(response), ""};
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, read_stream, stream, delete_stream);
  }
  return MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
}

MHD_Result queue_response(MHD_Connection* connection, ApiResponse response) {
  auto status = response.status;
  auto headers = response.headers;
  headers.emplace("Content-Type", "application/json");
  auto* created = create_response(std::move(response));
  for (const auto& [name, value] : headers) {
    MHD_add_response_header(created, name.c_str(), value.c_str());
  }
  auto result = MHD_queue_response(connection, status, created);
  MHD_destroy_response(created);
  return result;
}

ApiResponse body_too_long() {
  return ApiResponse::error(413, "too_long", "body: exceeds " + std::to_string(kMaxHttpBodyBytes) + " bytes");
}

void append_body(PendingRequest& pending, const char* bytes, size_t size) {
  if (pending.request.body.size() + size > kMaxHttpBodyBytes) {
    pending.body_too_long = true;
  } else {
    pending.request.body.append(bytes, size);
  }
}

/// Called by libmicrohttpd once for the head, once for each piece of the body, and once at the end.
MHD_Result on_request(void* server, MHD_Connection* connection, const char* path, const char* method, const char*,
                      const char* body, size_t* body_size, void** context) {
  if (!*context) {
    auto* pending = new PendingRequest;
    pending->request.method = method;
    pending->request.path = path;
    *context = pending;
    return MHD_YES;
  }
  auto& pending = *static_cast<PendingRequest*>(*context);
  if (*body_size) {
    append_body(pending, body, *body_size);
    *body_size = 0;
    return MHD_YES;
  }
  if (pending.body_too_long) {
    return queue_response(connection, body_too_long());
  }
  MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_value, &pending.request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_value, &pending.request.query);
  return queue_response(connection, static_cast<HttpServer*>(server)->handler()(pending.request));
}

void on_request_completed(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode) {
  delete static_cast<PendingRequest*>(*context);
  *context = nullptr;
}

}  // namespace

ApiResponse ApiResponse::error(uint32_t status, const std::string& code, const Errors& errors) {
  nlohmann::json body{{"error", code}, {"findings", nlohmann::json::array()}};
  for (const auto& error : errors) {
    body["findings"].push_back({{"place", error.location}, {"reason", error.message}});
  }
  ApiResponse response;
  response.status = status;
  response.body = body.dump() + "\n";
  return response;
}

ApiResponse ApiResponse::error(uint32_t status, const std::string& code, const std::string& reason,
                               Duration retry_after) {
  nlohmann::json body{{"error", code}, {"reason", reason}};
  ApiResponse response;
  response.status = status;
  if (retry_after > 0ms) {
    body["retry_after_ms"] = retry_after.count();
    response.headers["Retry-After"] = std::to_string(std::chrono::ceil<std::chrono::seconds>(retry_after).count());
  }
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return response;
}

Result<std::unique_ptr<HttpServer>> HttpServer::open(const Address& address, Handler handler) {
  auto socket = listen_on(address);
  if (!socket.ok()) {
    return socket.errors();
  }
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  server->daemon_ =
      MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, on_request,
                       server.get(), MHD_OPTION_LISTEN_SOCKET, socket.value().get(), MHD_OPTION_NOTIFY_COMPLETED,
                       on_request_completed, nullptr, MHD_OPTION_CONNECTION_LIMIT, kMaxHttpConnections,
                       MHD_OPTION_THREAD_STACK_SIZE, kConnectionStackBytes, MHD_OPTION_END);
  if (!server->daemon_) {
    return Errors{{address, "the HTTP server cannot start", ErrorCode::unavailable}};
  }
  // The server closes it.
  socket.value().release();
  return server;
}

HttpServer::~HttpServer() {
  if (daemon_) {
    MHD_stop_daemon(daemon_);
  }
}

}  // namespace mosskeel
