#include <http_parser.h>
#include <sys/socket.h>

#include <cerrno>

#include "net/http_server_connection.hpp"

namespace mosskeel {
namespace {
std::string hex_size(size_t n) {
  std::string s;
  for (; n; n >>= 4)
    s.insert(s.begin(), "0123456789abcdef"[n & 15]);
  return s;
}
}  // namespace

void HttpListener::send_head(uint64_t id, uint32_t status, const HeaderFields& f, std::optional<uint64_t> length) {
  auto s = held(id);
  if (!s || std::exchange(s->headed, true))
    return;
  bool never_a_body = status == 204 || status == 304 || status < 200;
  s->bodiless = never_a_body || s->bodiless;
  s->in_chunks = !length && !s->http_1_0 && !s->bodiless;
  if (!s->bodiless)
    s->answer_left = length;
  s->keep = s->keep && !closing_;
  auto& o = s->out;
  o += "HTTP/1.1 " + std::to_string(status) + " " + http_status_str(static_cast<http_status>(status)) + "\r\n";
  for (auto& x : end_to_end(f))
    if (writable(x))
      o += x.first + ": " + x.second + "\r\n";
  if (length && !never_a_body)
    o += "Content-Length: " + std::to_string(*length) + "\r\n";
  if (!length && !s->http_1_0 && !never_a_body)
    o += "Transfer-Encoding: chunked\r\n";
  o += s->keep ? "\r\n" : "Connection: close\r\n\r\n";
  mark(s);
}

void HttpListener::send_body(uint64_t id, std::string_view b) {
  auto s = held(id);
  if (!s || !s->headed || s->bodiless || b.empty())
    return;
  if (s->answer_left) {
    if (b.size() > *s->answer_left)
      return reset(s);
    *s->answer_left -= b.size();
  }
  if (s->in_chunks)
    s->out += hex_size(b.size()) + "\r\n";
  s->out += b;
  if (s->in_chunks)
    s->out += "\r\n";
  if (s->unsent() > high_watermark)
    s->above = true;
  mark(s);
}

void HttpListener::finish(uint64_t id) {
  auto s = held(id);
  if (!s)
    return;
  if (!s->headed || s->answer_left.value_or(0))
    return reset(s);
  if (s->in_chunks)
    s->out += "0\r\n\r\n";
  exchanges_.erase(std::exchange(s->id, 0));
  s->phase = Session::Phase::over;
  due(s, limits_.idle_timeout_ms);
  mark(s);
}

void HttpListener::send_response(uint64_t id, uint32_t status, const HeaderFields& f, std::string_view body) {
  send_head(id, status, f, body.size());
  send_body(id, body);
  finish(id);
}

void HttpListener::abort(uint64_t id) {
  if (auto s = held(id))
    reset(s);
}

void HttpListener::mark(const Held& s) {
  if (std::exchange(s->marked, true))
    return;
  marked_.push_back(s);
  if (std::exchange(flush_posted_, true))
    return;
  loop_.post([alive = std::weak_ptr(self_)] {
    if (auto self = alive.lock())
      (*self)->flush_marked();
  });
}

void HttpListener::flush_marked() {
  while (!marked_.empty()) {
    for (auto& s : std::exchange(marked_, {})) {
      s->marked = false;
      flush(s);
    }
  }
  flush_posted_ = false;
}

void HttpListener::flush(const Held& s) {
  using P = Session::Phase;
  if (s->phase == P::gone)
    return;
  while (s->unsent()) {
    auto n = ::send(s->fd.get(), s->out.data() + s->sent, s->unsent(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno == EAGAIN)
      break;
    if (n <= 0)
      return lose(s);
    s->sent += static_cast<size_t>(n);
    if (s->phase == P::over)
      due(s, limits_.idle_timeout_ms);
  }
  if (!s->unsent()) {
    s->sent = 0;
    s->out.capacity() > low_watermark ? std::string().swap(s->out) : s->out.clear();
  } else if (s->sent > low_watermark) {
    s->out.erase(0, std::exchange(s->sent, 0));
  }
  if (s->phase == P::over && !s->unsent())
    return next(s);
  interest(s);
  if (s->phase == P::running && s->above && s->unsent() < low_watermark) {
    s->above = false;
    if (events_.drained)
      events_.drained(s->id);
  }
}

}  // namespace mosskeel
