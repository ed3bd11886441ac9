#pragma once
// Replays an HTTP archive against a front worker: repeatable requests only, unless told otherwise.
#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

struct HarRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;
  int expected = 0;
};

/// The archive's requests, or every finding with its place.
Result<std::vector<HarRequest>> read_har(const std::string& text);
/// Replays them in order; the exit code.
int replay_har(const std::string& file, const Address& to, bool all);

}  // namespace mosskeel::loadgen
