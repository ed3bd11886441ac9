#pragma once
// An HTTP/1.1 server for JSON APIs, a thread per connection, by libmicrohttpd.
#include <map>

#include "mosskeel/common.hpp"

struct MHD_Daemon;

namespace mosskeel {

struct ApiRequest {
  std::string method, path, body;
  /// Names in lower case.
  std::map<std::string, std::string> headers, query;
};

/// A complete response, or, with `next_chunk`, a stream.
struct ApiResponse {
  /// `aborted`: the connection is closed so that its caller can't take the response for complete.
  enum class StreamState { more, finished, aborted };
  uint32_t status = 200;
  std::string body;
  /// JSON is the content type where none is given.
  std::map<std::string, std::string> headers;
  /// Appends the next bytes of the stream; may block until there are some. Called on the connection's thread.
  std::function<StreamState(std::string& bytes)> next_chunk;

  /// @param code names the kind of error to programs, `reason` tells people.
  /// @param retry_after the time after which the caller may retry; 0 for none.
  static ApiResponse error(uint32_t status, const std::string& code, const std::string& reason,
                           Duration retry_after = {});
  static ApiResponse error(uint32_t status, const std::string& code, const Errors& errors);
};

/// Serves requests from `open` until it is destroyed.
class HttpServer {
 public:
  /// Called on the thread of the request's connection; it may block.
  using Handler = std::function<ApiResponse(const ApiRequest&)>;
  /// @param address an IPv4 address with a port.
  /// @return errors where the address can't be listened on.
  static Result<std::unique_ptr<HttpServer>> open(const Address& address, Handler handler);
  ~HttpServer();
  const Handler& handler() const { return handler_; }

 private:
  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

}  // namespace mosskeel
