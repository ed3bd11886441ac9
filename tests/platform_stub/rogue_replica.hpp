#pragma once
// A replica that breaks the rules of HTTP and of the platform.
#include "base/fd.hpp"
#include "platform_stub/environment.hpp"
#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

/// Sends surplus, late, foreign, truncated, unsealed and unintelligible bytes, in turn with proper responses. It writes
/// to its sockets itself, since a proper HTTP server would refuse to.
class RogueReplica {
 public:
  RogueReplica(Environment& environment, ListedReplica listed_replica);
  ~RogueReplica();

  const ListedReplica listed;

 private:
  /// What it sends, in this order.
  enum class Behaviour {
    surplus_response,
    foreign_response,
    garbage,
    truncated_body,
    closed_connection,
    late_response,
    unsealed_response,
    proper_response
  };
  static constexpr uint64_t kBehaviours = 8;

  struct Connection {
    Fd socket;
    std::string received;
  };

  void accept_connections();
  void receive(int socket);
  /// Takes a complete request off the received bytes; nothing while it is incomplete.
  static std::optional<HttpRequest> take_request(std::string& received);
  void respond(int socket, const HttpRequest& request);
  void send(int socket, const std::string& bytes);
  void close(int socket);

  Environment& environment_;
  Fd listening_socket_;
  /// By socket.
  std::map<int, Connection> connections_;
  uint64_t requests_ = 0;
};

}  // namespace mosskeel::platform_stub
