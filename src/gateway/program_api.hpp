#pragma once
// The HTTP API for callers of programs and applications; see docs/http.md.
#include "gateway/caller_session.hpp"
#include "net/http_server.hpp"
#include "net/local_mailboxes.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Translates HTTP requests into messages to the gateway's state machine, and its replies into HTTP responses. `answer`
/// runs on the HTTP server's threads, one per connection, and blocks until the state machine replies. The class has no
/// mutable state.
class ProgramApi {
 public:
  /// Both must outlive this object and every response that it returns.
  ProgramApi(Host& host, LocalMailboxes& mailboxes) : host_(host), mailboxes_(mailboxes) {}
  ApiResponse answer(const ApiRequest& request);

 private:
  enum class Delivery { complete, streamed };

  ApiResponse answer_cell(const ApiRequest& request);
  ApiResponse answer_turn(const ApiRequest& request, const std::string& cell, const std::string& program);
  ApiResponse answer_application(const ApiRequest& request, const std::string& cell, const std::string& path);
  ApiResponse answer_history(const ApiRequest& request, const std::string& cell, const std::string& program);
  ApiResponse answer_readiness();
  ApiResponse answer_metrics();
  /// Posts the request to the state machine and waits for its response or for the first chunk of a stream.
  ApiResponse run(ProgramRequest request, Delivery delivery);

  Host& host_;
  LocalMailboxes& mailboxes_;
};

}  // namespace mosskeel
