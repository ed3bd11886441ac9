#pragma once
// What an upstream_client keeps of one connection.
#include "net/http_head.hpp"
#include "net/upstream_client.hpp"

namespace mosskeel {

struct UpstreamClient::Connection {
  enum class Phase { connecting, asking, idle, gone };
  Fd fd;
  Address to;
  Phase phase = Phase::connecting;
  uint32_t armed = 0;
  bool watched = false;
  uint64_t id = 0, timer = 0;
  // What goes out; `handed` from the first byte given to the kernel on.
  std::string out;
  size_t sent = 0;
  bool handed = false;
  // What comes in.
  std::string in;
  size_t scanned = 0;
  bool headed = false, head_asked = false, bodiless = false, paused = false, reusable = true;
  Chunks chunks;
  std::optional<uint64_t> left;
  bool chunked = false;
  Millis keep_ms = 0, keep_until = 0, idle_since = 0, connect_until = 0;
  // The tags of this ask and of the one before; whether the answer that is read belongs to that one and is skipped.
  std::string tag, previous_tag;
  bool skipping = false;
};

}  // namespace mosskeel
