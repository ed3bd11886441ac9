#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "base/json.hpp"
#include "base/log.hpp"
#include "messages/constants.hpp"
#include "net/wire.hpp"

using namespace mosskeel;

namespace {
Envelope sample() {
  Envelope e{};
  e.protocol = kProtocolRevision;
  e.cluster = 9;
  e.from = "127.0.0.1:1";
  e.body = AppendHistory{{"news", "p"},
                         PartitionId{3},
                         Epoch{4},
                         false,
                         2,
                         {Record{RecordKind::reservation, "k", "main", 1, 2, 3, 0, DaemonId{4}, 5, "in", ""}}};
  return e;
}
}  // namespace

TEST_CASE("a message comes back as it was sent") {
  auto e = sample();
  auto d = decode(encode(e));
  REQUIRE(d);
  CHECK(encode(*d) == encode(e));
  CHECK(std::get<AppendHistory>(d->body).records.at(0).input == "in");
}

TEST_CASE("cut, flipped, foreign and unknown messages are refused") {
  auto s = encode(sample());
  for (size_t n = 0; n < s.size(); ++n)
    CHECK_FALSE(decode(s.substr(0, n)));
  for (size_t n = 0; n < s.size(); n += 3) {
    auto t = s;
    t[n] = static_cast<char>(t[n] ^ 0x41);
    CHECK_FALSE(decode(t));
  }
  auto e = sample();
  e.protocol = 7;
  CHECK_FALSE(decode(encode(e)));
  auto bytes = codec::pack(sample());
  std::string kind;
  codec::put(kind, static_cast<uint16_t>(std::variant_size_v<Message>));
  auto own = codec::pack(sample().body).substr(0, 2);
  auto at = bytes.rfind(own, bytes.size() - codec::pack(sample().body).size());
  REQUIRE(at != std::string::npos);
  bytes.replace(at, 2, kind);
  codec::put(bytes, digest(bytes));
  CHECK_FALSE(decode(bytes));
}

TEST_CASE("a configuration's JSON is read whole or with all findings and their places") {
  auto good = json::parse<Configuration>(
      R"({"cells":[{"name":"n","budget":4,"turn_limit":2,"retention_ms":1000,"routes":[{"name":"c","kind":"model"}]}]})");
  REQUIRE(good.ok());
  CHECK(json::parse<Configuration>(json::write(good.value()).dump()) == good);
  struct Row {
    const char *text, *findings;
  };
  const Row rows[] = {
      {"{", "body: is no JSON"},
      {"[]", "body: must be an object"},
      {"{}", "cells: is missing"},
      {R"({"cells":[{"name":1,"budget":-1,"turn_limit":"x","retention_ms":1.5,"routes":{},"more":0}]})",
       "cells[0].name: must be a string; cells[0].budget: must be a whole number; cells[0].turn_limit: must be a whole "
       "number; "
       "cells[0].retention_ms: must be a whole number; cells[0].routes: must be a list; cells[0].more: is not known"},
  };
  for (auto& r : rows) {
    auto m = json::parse<Configuration>(r.text);
    REQUIRE_FALSE(m.ok());
    CHECK(to_string(m.errors()) == r.findings);
  }
}

TEST_CASE("the catalogue in the docs names every event") {
  std::ifstream f(SOURCE_DIR "/docs/events.md");
  std::stringstream s;
  s << f.rdbuf();
  REQUIRE(f);
#define X(name, number, text) CHECK(s.str().find("| " + std::to_string(number) + " | " + text) != std::string::npos);
  MOSSKEEL_EVENTS(X)
#undef X
}
