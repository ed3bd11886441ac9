#pragma once
// Reads an HTTP archive (HAR 1.2) and replays it against a gateway.
#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

/// One recorded request.
struct HarRequest {
  std::string method;
  /// With its query, without its fragment.
  std::string path;
  std::string body;
  /// Without those that belong to the recorded connection.
  std::map<std::string, std::string> headers;
  /// The recorded status; 0 where none was recorded.
  int expected_status = 0;
};

/// The archive's requests, or every error with its place.
Result<std::vector<HarRequest>> read_har(const std::string& text);

enum class ReplayScope {
  safe_methods,  ///< only GET and HEAD
  everything,
};
/// Replays a file's requests in order and prints which answers differ. 0 if none does, 1 if any does, 2 if the file
/// cannot be read.
int replay_har(const std::string& file, const Address& gateway, ReplayScope scope);

}  // namespace mosskeel::loadgen
