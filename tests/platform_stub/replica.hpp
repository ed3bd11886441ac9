#pragma once
// What the stub's replicas have in common.
#include <deque>

#include "net/http_listener.hpp"
#include "platform_stub/environment.hpp"
#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

/// Listens, or ends the process where that is not possible.
std::unique_ptr<HttpListener> listen_or_exit(EventLoop& loop, const Address& address,
                                             HttpListener::Callbacks callbacks);

/// A replica of a service: answers health checks, rejects what is not for it, and reports requests that should not have
/// reached it. What it does with the others is for the derived class.
class Replica {
 public:
  Replica(Environment& environment, ListedReplica listed_replica);
  virtual ~Replica() = default;

  ListedReplica listed;
  /// From when on an evacuation of its zone must be in force.
  std::optional<MonotonicTime> evacuated_from;

 protected:
  /// @return the attempt to execute; nothing where the request was answered or dropped here.
  std::optional<std::string> admit(uint64_t exchange, const HttpRequest& request);
  /// Responds that the attempt was not executed, and never will be.
  void send_not_executed(uint64_t exchange, uint32_t status, const std::string& attempt);
  HeaderFields response_fields(const std::string& attempt, const std::string& seal) const;
  virtual void on_request(uint64_t exchange, HttpRequest&& request) = 0;
  virtual void on_disconnected(uint64_t exchange) = 0;

  Environment& environment_;
  std::unique_ptr<HttpListener> listener_;

 private:
  void check_may_be_asked(const std::string& attempt);
  /// Whether a cold replica still bears its requests; reports the first time that it does not.
  bool bears_load();

  /// Requests of the last second, while cold.
  std::deque<MonotonicTime> cold_requests_;
  bool is_overloaded_ = false;
};

}  // namespace mosskeel::platform_stub
