#pragma once
// HTTP/1.1 towards callers, platform and operators, by libmicrohttpd.
#include "base/queue.hpp"
#include "messages/message.hpp"

struct MHD_Daemon;

namespace mosskeel {

struct ApiRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers, query;
};

/// A whole answer, or, with `next_chunk`, a stream: each call gives the next bytes.
struct ApiResponse {
  uint32_t status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  enum class StreamState { more, finished, aborted };
  std::function<StreamState(std::string&)> next_chunk;
  static ApiResponse error(uint32_t status, const std::string& code, const std::string& reason, uint32_t retry_ms = 0);
  static ApiResponse error(uint32_t status, const std::string& code, const Errors& f);
};

class HttpServer {
 public:
  using Handler = std::function<ApiResponse(const ApiRequest&)>;
  static Result<std::unique_ptr<HttpServer>> open(const Address& at, Handler h);
  ~HttpServer();
  const Handler& handler() const { return handler_; }

 private:
  explicit HttpServer(Handler h) : handler_(std::move(h)) {}
  Handler handler_;
  MHD_Daemon* mhd_ = nullptr;
};

/// Words waiting for one HTTP session, by token.
class LocalMailboxes {
 public:
  using Mailbox = Queue<Message>;
  std::pair<Address, std::shared_ptr<Mailbox>> open();
  void close(const Address& a);
  void deliver(const Envelope& e);
  size_t size() const;

 private:
  mutable std::mutex m_;
  uint64_t next_ = 0;
  std::map<Address, std::shared_ptr<Mailbox>> words_;
};

}  // namespace mosskeel
