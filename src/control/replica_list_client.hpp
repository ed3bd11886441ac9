#pragma once
// Reads a platform's replica list over HTTP.
#include <memory>
#include <stop_token>

#include "control/control_protocol.hpp"

namespace mosskeel {

/// HTTP client with one connection that is reused between reads. Not thread-safe.
class ReplicaListClient {
 public:
  /// Reads from `address` (IP:port) with the paths and page format of `protocol`.
  ReplicaListClient(const ControlProtocol& protocol, Address address);

  /// Reads all pages. Returns errors if any page fails, because a partial list looks as if replicas were removed, or if
  /// `stop` is requested between two pages.
  Result<std::vector<Replica>> read(const std::stop_token& stop);

 private:
  /// Fetches one page of at most this size.
  Result<std::string> fetch(const std::string& path, size_t max_bytes);

  const ControlProtocol& protocol_;
  const Address address_;
  /// A libcurl easy handle; `void` keeps libcurl's header out of this one.
  std::unique_ptr<void, void (*)(void*)> connection_;
};

}  // namespace mosskeel
