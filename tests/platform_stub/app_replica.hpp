#pragma once
// A replica of an application.
#include <unordered_set>

#include "platform_stub/replica.hpp"

namespace mosskeel::platform_stub {

/// Responds to each request after a short random time with a text, most often a short one.
class AppReplica : public Replica {
 public:
  using Replica::Replica;
  /// Added to the random time that a response takes.
  Duration extra_execution_time{};

 private:
  void on_request(uint64_t exchange, HttpRequest&& request) override;
  void on_disconnected(uint64_t exchange) override { executing_.erase(exchange); }
  /// @param draw the random number that decides between the responses.
  void respond(uint64_t exchange, const std::string& attempt, uint64_t draw);

  /// Exchanges without a response as yet.
  std::unordered_set<uint64_t> executing_;
};

}  // namespace mosskeel::platform_stub
