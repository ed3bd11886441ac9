// Tests of the HTTP parsers and writers without sockets.
#include "net/http_request_reader.hpp"
#include "net/http_response_reader.hpp"
#include "net/http_response_writer.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

using RequestProgress = HttpRequestReader::Progress;
using ResponseProgress = HttpResponseReader::Progress;

/// Reads the response to its end and returns its body.
std::string read_complete_body(HttpResponseReader& reader) {
  std::string body;
  while (true) {
    auto progress = reader.read();
    if (progress == ResponseProgress::body) {
      body += reader.take_body();
      continue;
    }
    REQUIRE((progress == ResponseProgress::head || progress == ResponseProgress::complete));
    if (progress == ResponseProgress::complete) {
      return body;
    }
  }
}

}  // namespace

TEST_CASE("HttpRequestReader reads pipelined requests one at a time, wherever their bytes are split") {
  const std::string bytes =
      "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";
  auto split = GENERATE_COPY(range(size_t{0}, bytes.size()));
  CAPTURE(split);
  HttpRequestReader reader;
  std::vector<HttpRequest> requests;

  for (const auto& piece : {bytes.substr(0, split), bytes.substr(split)}) {
    reader.append(piece);
    while (reader.read({}) == RequestProgress::complete) {
      requests.push_back(reader.take_request());
    }
  }

  REQUIRE(requests.size() == 2);
  CHECK(requests[0].target == "/a");
  CHECK(requests[0].body == "abc");
  CHECK(requests[1].target == "/b");
  CHECK(requests[1].body == "de");
  CHECK_FALSE(reader.has_unread_bytes());
}

TEST_CASE("HttpRequestReader reports once that a caller waits for 100 Continue") {
  HttpRequestReader reader;
  reader.append("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");

  CHECK(reader.read({}) == RequestProgress::incomplete);

  CHECK(reader.in_body());
  CHECK(reader.take_expects_continue());
  CHECK_FALSE(reader.take_expects_continue());
}

TEST_CASE("HttpRequestReader does not take a rejected request for HEAD after a HEAD request") {
  HttpRequestReader reader;
  reader.append("HEAD / HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n");
  REQUIRE(reader.read({}) == RequestProgress::complete);

  CHECK(reader.is_head_method());

  CHECK(reader.read({}) == RequestProgress::rejected);

  CHECK(reader.rejection_status() == 400);
  CHECK_FALSE(reader.is_head_method());
}

TEST_CASE("HttpResponseReader reads what HttpResponseWriter writes, sized and chunked") {
  auto content_length = GENERATE(as<std::optional<uint64_t>>{}, 11, std::nullopt);
  HttpResponseWriter writer;
  std::string bytes;
  writer.begin(false, false);
  writer.write_head(200, {{"X", "1"}}, content_length, true, bytes);
  REQUIRE(writer.write_body("hello ", bytes));
  REQUIRE(writer.write_body("world", bytes));
  REQUIRE(writer.write_end(bytes));
  HttpResponseReader reader;
  reader.begin(false);

  reader.append(bytes);

  CHECK(read_complete_body(reader) == "hello world");
  CHECK_FALSE(reader.has_unread_bytes());
}

TEST_CASE("HttpResponseReader reads no body of a response to HEAD") {
  HttpResponseReader reader;
  reader.begin(true);

  reader.append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");

  CHECK(reader.read() == ResponseProgress::head);
  CHECK(reader.read() == ResponseProgress::complete);
}

TEST_CASE("HttpResponseReader never completes a body that lasts until the close") {
  HttpResponseReader reader;
  reader.begin(false);

  reader.append("HTTP/1.1 200 OK\r\n\r\nabc");

  CHECK(reader.read() == ResponseProgress::head);
  CHECK(reader.read() == ResponseProgress::body);
  CHECK(reader.take_body() == "abc");
  CHECK(reader.read() == ResponseProgress::incomplete);
}

TEST_CASE("HttpResponseWriter rejects a body that does not match its length") {
  HttpResponseWriter writer;
  std::string bytes;
  writer.begin(false, false);

  CHECK_FALSE(writer.write_end(bytes));

  writer.write_head(200, {}, 3, true, bytes);

  CHECK(writer.write_body("ab", bytes));
  CHECK_FALSE(writer.write_end(bytes));
  CHECK_FALSE(writer.write_body("cd", bytes));
  CHECK(writer.write_body("c", bytes));
  CHECK(writer.write_end(bytes));
}

TEST_CASE("ChunkedDecoder ends at its last chunk") {
  ChunkedDecoder decoder;
  std::string body;
  std::string encoded = "3\r\nabc\r\n0\r\n\r\n";

  CHECK(decoder.decode(encoded + "surplus", body) == encoded.size());

  CHECK(decoder.done());
  CHECK(body == "abc");
}

TEST_CASE("ChunkedDecoder rejects data beyond a chunk") {
  ChunkedDecoder decoder;
  std::string body;

  decoder.decode("3\r\nabcd", body);

  CHECK(decoder.malformed());
  CHECK(body == "abc");
}
