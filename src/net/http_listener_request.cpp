#include <algorithm>

#include "net/http_server_connection.hpp"

namespace mosskeel {
namespace {

HeaderFields of_request(const HeaderFields& f) {
  auto kept = end_to_end(f);
  std::erase_if(kept, [](auto& x) { return same_word(x.first, "Expect"); });
  return kept;
}

}  // namespace

void HttpListener::pump(const Held& s) {
  using P = Session::Phase;
  if (s->phase == P::head && !read_head(s))
    return interest(s);
  if (s->phase == P::body && !read_body(s))
    return interest(s);
  interest(s);
}

bool HttpListener::read_head(const Held& s) {
  if (s->scanned == 0)
    s->in.erase(0, std::min(s->in.find_first_not_of("\r\n"), s->in.size()));
  auto extent = scan_head(s->in, s->scanned);
  if (extent == HeadScan::malformed)
    return refuse(s, 400), false;
  if (s->scanned > limits_.max_head_bytes)
    return refuse(s, 431), false;
  if (extent == HeadScan::incomplete) {
    if (s->in.empty())
      std::string().swap(s->in);
    else if (!std::exchange(s->head_due, true))
      due(s, limits_.head_timeout_ms);
    return false;
  }
  auto h = parse_request_head(std::string_view(s->in).substr(0, s->scanned));
  s->in.erase(0, std::exchange(s->scanned, 0));
  s->head_due = false;
  if (h.fault)
    return refuse(s, h.fault), false;
  if (h.content_length.value_or(0) > limits_.max_body_bytes)
    return refuse(s, 413), false;
  s->http_1_0 = h.http_1_0, s->keep = !h.close, s->chunked = h.chunked;
  s->body_left = h.content_length.value_or(0);
  s->bodiless = h.method == "HEAD";
  s->chunks = Chunks();
  s->phase = Session::Phase::body;
  bool body = s->chunked || s->body_left;
  if (body && !h.http_1_0 && s->in.empty() && names_token(h.fields, "Expect", "100-continue")) {
    s->out += "HTTP/1.1 100 Continue\r\n\r\n";
    mark(s);
  }
  if (body)
    due(s, limits_.idle_timeout_ms);
  s->request = {std::move(h.method),
                std::move(h.target),
                host_of(header_value(h.fields, "Host")).value_or(""),
                of_request(h.fields),
                {}};
  return true;
}

bool HttpListener::read_body(const Held& s) {
  size_t taken;
  if (s->chunked) {
    taken = s->chunks.feed(s->in, s->request.body);
    if (s->chunks.malformed())
      return refuse(s, 400), false;
    if (s->request.body.size() > limits_.max_body_bytes)
      return refuse(s, 413), false;
  } else {
    taken = std::min<uint64_t>(s->body_left, s->in.size());
    s->request.body.append(s->in, 0, taken);
    s->body_left -= taken;
  }
  s->in.erase(0, taken);
  if (s->in.empty())
    std::string().swap(s->in);
  if (s->chunked ? s->chunks.done() : s->body_left == 0)
    return ask(s), true;
  due(s, limits_.idle_timeout_ms);
  return false;
}

void HttpListener::ask(const Held& s) {
  s->phase = Session::Phase::running;
  s->id = ++last_id_;
  due(s, 0);
  exchanges_.emplace(s->id, s);
  events_.asked(s->id, std::exchange(s->request, {}));
}

void HttpListener::refuse(const Held& s, uint32_t status) {
  s->phase = Session::Phase::running;
  s->id = ++last_id_;
  s->keep = s->http_1_0 = false;
  s->request = {};
  std::string().swap(s->in);
  s->scanned = 0;
  exchanges_.emplace(s->id, s);
  send_response(s->id, status, {{"Content-Type", "text/plain"}}, "refused\n");
}

}  // namespace mosskeel
