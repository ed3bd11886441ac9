#include "net/http_head.hpp"

#include <http_parser.h>

#include <algorithm>

namespace mosskeel {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool token_char(char c) {
  return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
         (c != 0 && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

bool is_token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), token_char);
}

bool is_text(std::string_view s) {
  return std::all_of(s.begin(), s.end(), [](char c) {
    auto u = static_cast<unsigned char>(c);
    return u == '\t' || (u >= 0x20 && u != 0x7f);
  });
}

std::string_view trim(std::string_view s) {
  auto from = s.find_first_not_of(" \t");
  if (from == std::string_view::npos)
    return {};
  return s.substr(from, s.find_last_not_of(" \t") - from + 1);
}

bool is_field_line(std::string_view s) {
  auto colon = s.find(':');
  return colon != std::string_view::npos && is_token(s.substr(0, colon)) && is_text(s.substr(colon + 1));
}

/// Calls f with each line of a head, without its end and without the last, empty one.
template <class F>
bool all_lines(std::string_view head, F f) {
  for (bool first = true; head.size() > 2; first = false) {
    auto end = head.find("\r\n");
    if (!f(head.substr(0, end), first))
      return false;
    head.remove_prefix(end + 2);
  }
  return true;
}

bool is_request_line(std::string_view s) {
  auto a = s.find(' '), b = s.rfind(' ');
  if (a == std::string_view::npos || a + 1 >= b)
    return false;
  auto target = s.substr(a + 1, b - a - 1), version = s.substr(b + 1);
  return is_token(s.substr(0, a)) && target.front() == '/' && (version == "HTTP/1.1" || version == "HTTP/1.0") &&
         std::all_of(target.begin(), target.end(), [](char c) { return c > 0x20 && c < 0x7f && c != '#'; });
}

bool is_status_line(std::string_view s) {
  return (s.starts_with("HTTP/1.1 ") || s.starts_with("HTTP/1.0 ")) && is_text(s) && s.size() >= 12 && s[9] >= '1' &&
         s[9] <= '5' && (s.size() == 12 || s[12] == ' ');
}

struct Reading {
  HttpHead head;
  bool value = true, whole = false;
};

Reading& reading(http_parser* p) {
  return *static_cast<Reading*>(p->data);
}

const http_parser_settings& callbacks() {
  static const auto made = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, size_t n) {
      return reading(p).head.target.append(at, n), 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, size_t n) {
      auto& r = reading(p);
      if (std::exchange(r.value, false))
        r.head.fields.emplace_back();
      r.head.fields.back().first.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, size_t n) {
      auto& r = reading(p);
      r.value = true;
      r.head.fields.back().second.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      auto& h = reading(p).head;
      reading(p).whole = true;
      h.http_1_0 = p->http_minor == 0;
      if (p->type == HTTP_REQUEST)
        h.method = http_method_str(static_cast<http_method>(p->method));
      else
        h.status = p->status_code;
      return 0;
    };
    return s;
  }();
  return made;
}

HttpHead fail(HttpHead h, uint32_t fault, std::string reason) {
  h.fault = fault, h.reason = std::move(reason);
  return h;
}

HttpHead read_framing(HttpHead h) {
  size_t lengths = 0, codings = 0;
  std::string_view length, coding;
  for (auto& [name, value] : h.fields) {
    value = std::string(trim(value));
    if (same_word(name, "Content-Length"))
      ++lengths, length = value;
    if (same_word(name, "Transfer-Encoding"))
      ++codings, coding = value;
  }
  if (lengths + codings > 1)
    return fail(std::move(h), 400, "framed twice");
  if (codings && h.http_1_0)
    return fail(std::move(h), 400, "transfer coding in HTTP/1.0");
  if (codings && !same_word(coding, "chunked"))
    return fail(std::move(h), 501, "transfer coding not known");
  if (lengths) {
    if (length.empty() || length.size() > 18 || length.find_first_not_of("0123456789") != std::string_view::npos)
      return fail(std::move(h), 400, "length malformed");
    h.content_length = std::stoull(std::string(length));
  }
  h.chunked = codings > 0;
  h.close = h.http_1_0 || names_token(h.fields, "Connection", "close");
  return h;
}

HttpHead read_head(std::string_view head, http_parser_type type) {
  bool good = all_lines(head, [&](std::string_view line, bool first) {
    if (!first)
      return is_field_line(line);
    return type == HTTP_REQUEST ? is_request_line(line) : is_status_line(line);
  });
  if (!good)
    return fail({}, 400, "head malformed");
  Reading r;
  http_parser p;
  http_parser_init(&p, type);
  p.data = &r;
  p.allow_chunked_length = 1;
  http_parser_execute(&p, &callbacks(), head.data(), head.size());
  if (!r.whole)
    return fail({}, 400, http_errno_name(HTTP_PARSER_ERRNO(&p)));
  return read_framing(std::move(r.head));
}

}  // namespace

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

HeadScan scan_head(std::string_view in, size_t& scanned) {
  for (; scanned < in.size(); ++scanned) {
    if (in[scanned] == '\n') {
      if (scanned == 0 || in[scanned - 1] != '\r')
        return HeadScan::malformed;
      if (scanned >= 3 && in[scanned - 2] == '\n')
        return ++scanned, HeadScan::complete;
    } else if (scanned > 0 && in[scanned - 1] == '\r') {
      return HeadScan::malformed;
    }
  }
  return HeadScan::incomplete;
}

HttpHead parse_request_head(std::string_view head) {
  auto h = read_head(head, HTTP_REQUEST);
  if (h.fault)
    return h;
  auto hosts = std::count_if(h.fields.begin(), h.fields.end(), [](auto& f) { return same_word(f.first, "Host"); });
  if (hosts > 1 || (hosts == 0 && !h.http_1_0))
    return fail(std::move(h), 400, "not one Host");
  if (!host_of(header_value(h.fields, "Host")))
    return fail(std::move(h), 400, "Host malformed");
  if (h.method == "CONNECT")
    return fail(std::move(h), 400, "no tunnels");
  return h;
}

HttpHead parse_response_head(std::string_view head) {
  return read_head(head, HTTP_RESPONSE);
}

std::optional<std::string> host_of(std::string_view value) {
  auto port = value.rfind(':');
  if (auto bracket = value.rfind(']');
      bracket != std::string_view::npos && port != std::string_view::npos && port < bracket)
    port = std::string_view::npos;
  if (port != std::string_view::npos) {
    if (value.substr(port + 1).find_first_not_of("0123456789") != std::string_view::npos)
      return std::nullopt;
    value = value.substr(0, port);
  }
  std::string host;
  for (char c : value) {
    if (c <= 0x20 || c >= 0x7f || std::string_view("/@,?#\\\"<>").find(c) != std::string_view::npos)
      return std::nullopt;
    host += lower(c);
  }
  return host;
}

bool names_token(const HeaderFields& f, std::string_view name, std::string_view token) {
  for (auto& [n, value] : f) {
    if (!same_word(n, name))
      continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      auto comma = std::min(rest.find(','), rest.size());
      if (same_word(trim(rest.substr(0, comma)), token))
        return true;
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

HeaderFields end_to_end(const HeaderFields& f) {
  static constexpr std::string_view hop[] = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
                                             "Trailer",    "Upgrade"};
  HeaderFields kept, naming;
  std::copy_if(f.begin(), f.end(), std::back_inserter(naming),
               [](auto& x) { return same_word(x.first, "Connection"); });
  for (auto& x : f)
    if (std::none_of(std::begin(hop), std::end(hop), [&](auto h) { return same_word(h, x.first); }) &&
        !same_word(std::string_view(x.first).substr(0, 6), "Proxy-") && !names_token(naming, "Connection", x.first))
      kept.push_back(x);
  return kept;
}

bool writable(const std::pair<std::string, std::string>& x) {
  return is_token(x.first) && is_text(x.second);
}

}  // namespace mosskeel
