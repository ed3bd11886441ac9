#pragma once
// An HTTP/1.1 server for JSON APIs with one thread per connection, based on libmicrohttpd.
#include <map>

#include "mosskeel/common.hpp"

struct MHD_Daemon;

namespace mosskeel {

struct ApiRequest {
  std::string method, path, body;
  /// Names in lower case.
  std::map<std::string, std::string> headers, query;
};

/// A complete response or, if `next_chunk` is set, a streamed one.
struct ApiResponse {
  /// `aborted`: the connection is closed in a way that the caller cannot mistake the response for a complete one.
  enum class StreamState { more, finished, aborted };
  uint32_t status = 200;
  std::string body;
  /// The content type defaults to JSON.
  std::map<std::string, std::string> headers;
  /// Appends the next bytes of the stream; may block until there are some. Runs on the connection's thread.
  std::function<StreamState(std::string& bytes)> next_chunk;

  /// @param code a machine-readable kind of error; `reason` is the text for people.
  /// @param retry_after the delay after which the caller may retry; 0 omits it.
  static ApiResponse error(uint32_t status, const std::string& code, const std::string& reason,
                           Duration retry_after = {});
  static ApiResponse error(uint32_t status, const std::string& code, const Errors& errors);
};

/// Serves requests from `open` until destruction.
class HttpServer {
 public:
  /// Runs on the thread of the request's connection; may block.
  using Handler = std::function<ApiResponse(const ApiRequest&)>;
  /// @param address an IPv4 address with a port.
  /// @return errors if listening at the address fails.
  static Result<std::unique_ptr<HttpServer>> open(const Address& address, Handler handler);
  ~HttpServer();
  const Handler& handler() const { return handler_; }

 private:
  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

}  // namespace mosskeel
