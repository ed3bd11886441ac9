// Tests that requests are rejected if another HTTP parser might frame them differently.
#include "test_server.hpp"

using namespace mosskeel;

namespace {

/// A request and the status expected for its rejection.
struct RejectedRequest {
  std::string bytes;
  int status;
};

std::string post(const std::string& fields, const std::string& body = "") {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string with_request_line(const std::string& request_line) {
  return request_line + "\r\nHost: h\r\n\r\n";
}

}  // namespace

TEST_CASE("HttpListener rejects requests that another parser might frame differently, and closes their connections") {
  auto rejected = GENERATE_COPY(values<RejectedRequest>({
      {post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
      {post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400},
      {post("Content-Length: 3, 3\r\n", "abc"), 400},
      {post("Content-Length: +3\r\n", "abc"), 400},
      {post("Content-Length: -1\r\n"), 400},
      {post("Content-Length: 0x3\r\n"), 400},
      {post("Content-Length:\r\n"), 400},
      {post("Content-Length: 3 3\r\n"), 400},
      {post("Content-Length: 99999999999999999999\r\n"), 400},
      {post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), 400},
      {post("Transfer-Encoding: gzip\r\n"), 501},
      {post("Transfer-Encoding: gzip, chunked\r\n"), 501},
      {post("Transfer-Encoding: chunked, identity\r\n"), 501},
      {post("Transfer-Encoding: xchunked\r\n"), 501},
      {post("Transfer-Encoding: \"chunked\"\r\n"), 501},
      {post("Transfer-Encoding:\r\n"), 501},
      {post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"), 400},
      {"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {post("X: a\r\n b\r\n"), 400},
      {post("X: a\r\n\tb\r\n"), 400},
      {post("X : a\r\n"), 400},
      {post("Content-Length : 3\r\n", "abc"), 400},
      {post("Transfer-Encoding : chunked\r\n"), 400},
      {post(" X: a\r\n"), 400},
      {post(": a\r\n"), 400},
      {post("X\r\n"), 400},
      {post("X\x01Y: a\r\n"), 400},
      {post(std::string("X: a\0b\r\n", 8)), 400},
      {post("X: a\x7f\r\n"), 400},
      {post("X: a\rb\r\n"), 400},
      {post("X: a\r\r\n"), 400},
      {post("X: a\nY: b\r\n"), 400},
      {"GET / HTTP/1.1\nHost: h\n\n", 400},
      {"GET / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
      {"GET / HTTP/1.0\r\nHost: h\r\nHost: i\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: u@h\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: h:8x\r\n\r\n", 400},
      {with_request_line("GET http://h/ HTTP/1.1"), 400},
      {with_request_line("GET h:80 HTTP/1.1"), 400},
      {with_request_line("OPTIONS * HTTP/1.1"), 400},
      {with_request_line("CONNECT h:80 HTTP/1.1"), 400},
      {with_request_line("CONNECT /h HTTP/1.1"), 400},
      {with_request_line("GET /a b HTTP/1.1"), 400},
      {with_request_line("GET  / HTTP/1.1"), 400},
      {with_request_line("GET /  HTTP/1.1"), 400},
      {with_request_line("GET\t/ HTTP/1.1"), 400},
      {with_request_line("GET /a\tb HTTP/1.1"), 400},
      {with_request_line("GET /a\x01 HTTP/1.1"), 400},
      {with_request_line("GET /a\x7f HTTP/1.1"), 400},
      {with_request_line("GET /\xc3\xa4 HTTP/1.1"), 400},
      {with_request_line("GET / HTTP/1.2"), 400},
      {with_request_line("GET / HTTP/2.0"), 400},
      {with_request_line("GET / HTTP/0.9"), 400},
      {with_request_line("GET / http/1.1"), 400},
      {with_request_line("GET /"), 400},
      {with_request_line("G<T / HTTP/1.1"), 400},
      {with_request_line(" GET / HTTP/1.1"), 400},
      {post("Transfer-Encoding: chunked\r\n", "3\r\nabcXX0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "3\nabc\n0\n\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "0x3\r\nabc\r\n0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", " 3\r\nabc\r\n0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "-1\r\nabc\r\n0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "10000000000000003\r\nabc\r\n0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "3;a\nb\r\nabc\r\n0\r\n\r\n"), 400},
      {post("Transfer-Encoding: chunked\r\n", "0\r\nX : a\r\n\r\n"), 400},
      {post("Content-Length: 1001\r\n"), 413},
      {post("Transfer-Encoding: chunked\r\n", "3e9\r\n" + std::string(1001, 'x')), 413},
      {post("X: " + std::string(3000, 'x') + "\r\n"), 431},
      {"GET /" + std::string(3000, 'x'), 431},
  }));
  CAPTURE(rejected.bytes);
  TestServer server;
  HttpListenerLimits limits;
  limits.max_head_bytes = 2048;
  limits.max_body_bytes = 1000;
  server.listener->set_limits(limits);

  auto response = server.exchange(rejected.bytes);

  CHECK(response.starts_with("HTTP/1.1 " + std::to_string(rejected.status) + " "));
  CHECK(response.find("\r\nConnection: close\r\n") != std::string::npos);
  CHECK(count_occurrences(response, "HTTP/1.1 ") == 1);
  CHECK(server.requests.empty());
}
