#pragma once
// HTTP/1.1 towards callers, platform and operators, by libmicrohttpd.
#include "kernel/queue.hpp"
#include "kernel/messages.hpp"

struct MHD_Daemon;

namespace mosskeel {

struct HttpAsk {
  std::string method, path, body;
  std::map<std::string, std::string> headers, query;
};

/// A whole answer, or, with `next`, a stream: each call gives the next bytes.
struct HttpAnswer {
  uint32_t status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  enum class Flow { more, end, broken };
  std::function<Flow(std::string&)> next;
  static HttpAnswer error(uint32_t status, const std::string& code, const std::string& reason, uint32_t retry_ms = 0);
  static HttpAnswer error(uint32_t status, const std::string& code, const Findings& f);
};

class HttpServer {
 public:
  using Handler = std::function<HttpAnswer(const HttpAsk&)>;
  static Result<std::unique_ptr<HttpServer>> open(const Address& at, Handler h);
  ~HttpServer();
  const Handler& handler() const { return handler_; }

 private:
  explicit HttpServer(Handler h) : handler_(std::move(h)) {}
  Handler handler_;
  MHD_Daemon* mhd_ = nullptr;
};

/// Words waiting for one HTTP session, by token.
class Sessions {
 public:
  using Words = Queue<Message>;
  std::pair<Address, std::shared_ptr<Words>> open();
  void close(const Address& a);
  void deliver(const Envelope& e);
  size_t size() const;

 private:
  mutable std::mutex m_;
  uint64_t next_ = 0;
  std::map<Address, std::shared_ptr<Words>> words_;
};

}  // namespace mosskeel
