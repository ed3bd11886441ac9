// Archives of recorded HTTP requests (HAR) that the load generator replays.
#include "loadgen/har.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using namespace mosskeel::loadgen;

TEST_CASE("The requests of an archive are read with all that a replay needs") {
  auto archive = read_har(R"({"log":{"entries":[
    {"request":{"method":"GET","url":"https://x.example/tallies/1?a=2#f","headers":[{"name":"Host","value":"x"},{"name":"X-Class","value":"bulk"}]},"response":{"status":200}},
    {"request":{"method":"POST","url":"http://x.example","postData":{"text":"body"}}}]}})");
  REQUIRE(archive.ok());
  const auto& requests = archive.value();
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].path == "/tallies/1?a=2");
  CHECK(requests[0].headers == std::map<std::string, std::string>{{"X-Class", "bulk"}});
  CHECK(requests[0].expected_status == 200);
  CHECK(requests[1].path == "/");
  CHECK(requests[1].body == "body");
}

TEST_CASE("A truncated or invalid archive is rejected with the locations of its errors") {
  struct Example {
    const char* text;
    const char* errors;
  };
  const Example examples[] = {
      {R"({"log":{"entries":[{"requ)", "byte 26: the file is no whole JSON"},
      {"[]", "log.entries: is missing or no list"},
      {R"({"log":{"entries":[{},{"request":{"method":1,"url":"ftp://x/","headers":[{"name":"a"}]}}]}})",
       "log.entries[0].request: is missing or no object; log.entries[1].request.method: is missing or no string; "
       "log.entries[1].request.url: is no http address; log.entries[1].request.headers[0]: lacks a name or a value"},
  };
  for (const auto& example : examples) {
    auto archive = read_har(example.text);
    REQUIRE_FALSE(archive.ok());

    CHECK(to_string(archive.errors()) == example.errors);
  }
}
