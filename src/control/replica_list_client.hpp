#pragma once
// Reads a platform's list of replicas over HTTP.
#include <memory>
#include <stop_token>

#include "control/control_protocol.hpp"

namespace mosskeel {

/// A client with one connection, kept between readings. Not thread-safe.
class ReplicaListClient {
 public:
  /// Reads at `address` (IP:port), with the paths and pages of `protocol`.
  ReplicaListClient(const ControlProtocol& protocol, Address address);

  /// Reads all pages. Errors where any of them fails, for a partial list looks like one that lost replicas; also
  /// where `stop` is requested between two pages.
  Result<std::vector<Replica>> read(const std::stop_token& stop);

 private:
  Result<std::string> fetch(const std::string& path);

  const ControlProtocol& protocol_;
  const Address address_;
  /// A libcurl handle, whose type only the source file knows.
  std::unique_ptr<void, void (*)(void*)> connection_;
};

}  // namespace mosskeel
