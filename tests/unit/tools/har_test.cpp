#include <catch2/catch.hpp>

#include "../tools/loadgen/har.hpp"

using namespace mosskeel;
using namespace mosskeel::loadgen;

TEST_CASE("an archive's requests are read with what matters for a replay") {
  auto r = read_har(R"({"log":{"entries":[
    {"request":{"method":"GET","url":"https://x.example/tallies/1?a=2#f","headers":[{"name":"Host","value":"x"},{"name":"X-Class","value":"bulk"}]},"response":{"status":200}},
    {"request":{"method":"POST","url":"http://x.example","postData":{"text":"body"}}}]}})");
  REQUIRE(r.ok());
  auto& v = r.value();
  REQUIRE(v.size() == 2);
  CHECK(v[0].path == "/tallies/1?a=2");
  CHECK(v[0].headers == std::map<std::string, std::string>{{"X-Class", "bulk"}});
  CHECK(v[0].expected == 200);
  CHECK(v[1].path == "/");
  CHECK(v[1].body == "body");
}

TEST_CASE("a truncated or invalid archive gives findings with their places") {
  struct Row {
    const char *text, *findings;
  };
  const Row rows[] = {
      {R"({"log":{"entries":[{"requ)", "byte 26: the file is no whole JSON"},
      {"[]", "log.entries: is missing or no list"},
      {R"({"log":{"entries":[{},{"request":{"method":1,"url":"ftp://x/","headers":[{"name":"a"}]}}]}})",
       "log.entries[0].request: is missing or no object; log.entries[1].request.method: is missing or no string; "
       "log.entries[1].request.url: is no http address; log.entries[1].request.headers[0]: lacks a name or a value"},
  };
  for (auto& r : rows) {
    auto x = read_har(r.text);
    REQUIRE_FALSE(x.ok());
    CHECK(to_string(x.errors()) == r.findings);
  }
}
