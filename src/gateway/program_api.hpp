#pragma once
// The HTTP interface for callers of programs and applications, as docs/http.md tells it.
#include "gateway/caller_session.hpp"
#include "net/http_server.hpp"
#include "net/local_mailboxes.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Turns HTTP requests into requests for the gateway's state machine and its responses into HTTP. `answer` is called on
/// the HTTP server's threads, one for each connection, and waits there for the state machine; the class itself has no
/// state that changes.
class ProgramApi {
 public:
  /// Both must outlive this object and every response that it has returned.
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
  /// Hands the request to the state machine and waits for its response, or for the first chunk of a stream.
  ApiResponse run(ProgramRequest request, Delivery delivery);

  Host& host_;
  LocalMailboxes& mailboxes_;
};

}  // namespace mosskeel
