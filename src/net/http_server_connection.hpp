#pragma once
// What an http_listener keeps of one connection.
#include "net/http_head.hpp"
#include "net/http_listener.hpp"

namespace mosskeel {

struct HttpListener::Session {
  /// `parting` has shut its own direction and reads what still comes in order to drop it; `parting_unread` does not
  /// read: nothing it was sent may count as taken.
  enum class Phase { head, body, running, over, parting, parting_unread, gone };
  Fd fd;
  Phase phase = Phase::head;
  uint32_t armed = 0;
  uint64_t id = 0;
  // What came: bytes not yet taken, and the request they make up.
  std::string in;
  size_t scanned = 0;
  bool head_due = false, http_1_0 = false, keep = true, chunked = false;
  uint64_t body_left = 0;
  Chunks chunks;
  HttpRequest request;
  // What goes out.
  std::string out;
  size_t sent = 0;
  bool headed = false, bodiless = false, in_chunks = false, above = false, marked = false;
  std::optional<uint64_t> answer_left;
  // The one deadline; the timer may be due before it and is then set anew.
  Millis deadline = 0, timer_at = 0;
  uint64_t timer = 0;
  size_t unsent() const { return out.size() - sent; }
};

}  // namespace mosskeel
