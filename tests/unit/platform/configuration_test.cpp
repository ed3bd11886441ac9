// The operator's configurations: whole, changed, and wrong.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "platform/configuration.hpp"

using namespace mosskeel;
using platform::parse_configuration;
using platform::patch_configuration;
using Json = nlohmann::json;

namespace {

const char* const whole = R"({"Revision":7,"Routes":[
 {"Name":"r-a","Host":"ficu95.example","PathPrefix":"/pufi791/","RouteKind":"streaming","TimeoutMs":4000,
  "TargetLatencyMs":250,"Priority":2,"Service":"huvo11a","MaxAttempts":2,"Retained":true,"RetentionS":60.5,
  "StickySessions":true,"Resumable":false,"GapTargetMs":400,"Later":{"deep":[1.0]}},
 {"Name":"r-b","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteKind":"safe","TimeoutMs":1000,
  "TrafficSplit":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}]}],
 "Services":[
 {"Name":"huvo11a","HealthPath":"/health","MaxConnections":230,"Protocol":"h1","ColdStartS":3.25,"ColdPerS":19.5,
  "Runtime":{"SlotCount":32,"CacheTokens":197627,"TokensPerEvent":4,"Models":[{"Name":"m"}]}},
 {"Name":"wuno96b","HealthPath":"/health","MaxConnections":96}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Extra":1})";

Json doc() {
  return Json::parse(whole);
}

std::string refused(const Result<platform::ConfigurationDocument>& r) {
  REQUIRE_FALSE(r.ok());
  return to_string(r.errors());
}

}  // namespace

TEST_CASE("A configuration document parses into routes and services and is kept verbatim") {
  auto r = parse_configuration(whole);
  INFO((r.ok() ? "" : to_string(r.errors())));
  REQUIRE(r.ok());
  auto& m = r.value().configuration;
  CHECK(r.value().revision == Revision{7});
  CHECK(m.document == whole);
  CHECK(m.cells.empty());
  REQUIRE(m.paths.size() == 2);
  CHECK(m.paths[0] == Path{"r-a",
                           "ficu95.example",
                           "/pufi791/",
                           "streaming",
                           4000,
                           250,
                           2,
                           2,
                           true,
                           60500,
                           true,
                           false,
                           400,
                           {{"huvo11a", 1}}});
  CHECK(m.paths[1] == Path{"r-b",
                           "ficu95.example",
                           "/lohu930/",
                           "safe",
                           1000,
                           0,
                           0,
                           1,
                           false,
                           0,
                           false,
                           false,
                           0,
                           {{"huvo11a", 90}, {"wuno96b", 10}}});
  REQUIRE(m.services.size() == 2);
  CHECK(m.services[0] == Service{"huvo11a", "/health", 230, 3250, 19.5, 32, 197627, 4});
  CHECK(m.services[1] == Service{"wuno96b", "/health", 96, 0, 0, 0, 0, 0});
  CHECK(m.callers == CallerLimits{16384, 4194304, 3000, 15000});
}

TEST_CASE("Each invalid configuration is rejected with the place of the error") {
  std::string text = whole;
  CHECK(refused(parse_configuration(text.substr(0, text.size() / 2))).starts_with("body"));
  CHECK(refused(parse_configuration(text + "}")).starts_with("body"));
  CHECK(refused(parse_configuration("[]")).starts_with("body"));
  const std::pair<const char*, const char*> table[] = {
      {R"([{"op":"replace","path":"/Routes/0/Service","value":"nowhere"}])", "service 'nowhere' is unknown"},
      {R"([{"op":"replace","path":"/Routes/1/PathPrefix","value":"/pufi791/"}])", "host and prefix"},
      {R"([{"op":"replace","path":"/Routes/1/TrafficSplit/0/Weight","value":0},
           {"op":"replace","path":"/Routes/1/TrafficSplit/1/Weight","value":0}])",
       "add up to 0"},
      {R"([{"op":"replace","path":"/Routes/1/TrafficSplit/0/Weight","value":-1}])", "Routes[1].TrafficSplit[0].Weight"},
      {R"([{"op":"replace","path":"/Routes/1/TrafficSplit","value":[]}])", "add up to 0"},
      {R"([{"op":"replace","path":"/Routes/0/TimeoutMs","value":0}])", "must be above 0 ms"},
      {R"([{"op":"remove","path":"/Routes/0/TimeoutMs"}])", "Routes[0].TimeoutMs: is missing"},
      {R"([{"op":"remove","path":"/Routes/0/Service"}])", "Routes[0].Service: is missing"},
      {R"([{"op":"replace","path":"/Routes/1/Name","value":"r-a"}])", "is there twice"},
      {R"([{"op":"replace","path":"/Services/1/Name","value":"huvo11a"}])", "is there twice"},
      {R"([{"op":"replace","path":"/Routes/0/RouteKind","value":"odd"}])", "none of safe, unsafe, streaming"},
      {R"([{"op":"replace","path":"/Routes/0/PathPrefix","value":"/x"}])", "begin and end"},
      {R"([{"op":"replace","path":"/Routes/0","value":3}])", "Routes[0]: must be an object"},
      {R"([{"op":"replace","path":"/Routes","value":{}}])", "Routes: must be a list"},
      {R"([{"op":"remove","path":"/Services"}])", "Services: is missing"},
      {R"([{"op":"remove","path":"/Revision"}])", "Revision: is missing"},
      {R"([{"op":"replace","path":"/Revision","value":0}])", "Revision: must be"},
      {R"([{"op":"replace","path":"/Revision","value":"8"}])", "Revision: must be"},
      {R"([{"op":"replace","path":"/Limits","value":7}])", "Limits: must be an object"}};
  for (auto& [patch, reason] : table) {
    INFO(patch);
    CHECK_THAT(refused(parse_configuration(doc().patch(Json::parse(patch)).dump())), Catch::Contains(reason));
  }
}

TEST_CASE("A configuration revision not above the current one is rejected") {
  auto r = parse_configuration(whole).value();
  Metadata m{};
  m.revision = Revision{7};
  for (uint64_t own : {uint64_t{6}, uint64_t{7}})
    CHECK_FALSE(apply(m, {Epoch{1}, "", ApplyConfiguration{Revision{7}, r.configuration, Revision{own}}}).ok());
  auto up = apply(m, {Epoch{1}, "", ApplyConfiguration{Revision{7}, r.configuration, Revision{12}}});
  REQUIRE(up.ok());
  CHECK(up.value().revision == Revision{12});
}

TEST_CASE("A configuration patch keeps all items that it does not name") {
  auto r = patch_configuration(whole, R"({"Revision":9,"Remove":{"Routes":["r-a","r-unknown"]},"Upsert":{
    "Routes":[{"Name":"r-b","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteKind":"safe","TimeoutMs":50,
               "Service":"wuno96b","New":true},
              {"Name":"r-c","Host":"h","PathPrefix":"/","RouteKind":"unsafe","TimeoutMs":7,"Service":"huvo11a"}]}})");
  INFO((r.ok() ? "" : to_string(r.errors())));
  REQUIRE(r.ok());
  auto j = Json::parse(r.value().configuration.document);
  CHECK(r.value().revision == Revision{9});
  CHECK(j["Revision"] == 9);
  CHECK(j["Extra"] == 1);
  CHECK(j["Services"] == doc()["Services"]);
  CHECK(j["Limits"] == doc()["Limits"]);
  REQUIRE(j["Routes"].size() == 2);
  CHECK(j["Routes"][0]["New"] == true);
  CHECK(j["Routes"][1]["Name"] == "r-c");
  CHECK(r.value().configuration.paths[0].timeout_ms == 50);
  auto kept = patch_configuration(whole, R"({"Revision":8,"Upsert":{"Services":[{"Name":"third"}]}})");
  REQUIRE(kept.ok());
  CHECK(Json::parse(kept.value().configuration.document)["Routes"] == doc()["Routes"]);
  CHECK(kept.value().configuration.services.size() == 3);
}

TEST_CASE("A configuration patch creates a missing document, and an invalid patch is rejected") {
  CHECK(patch_configuration("", R"({"Revision":1,"Upsert":{"Services":[{"Name":"s"}]}})").ok());
  const std::pair<const char*, const char*> table[] = {
      {R"({"Revision":9,"Ups)", "body"},
      {R"({"Upsert":{}})", "Revision: is missing"},
      {R"({"Revision":9,"Upsert":7})", "Upsert: must be"},
      {R"({"Revision":9,"Upsert":{"Routes":{}}})", "Upsert.Routes"},
      {R"({"Revision":9,"Upsert":{"Routes":[{"Host":"h"}]}})", "Upsert.Routes[0].Name"},
      {R"({"Revision":9,"Upsert":{"Services":[{"Name":"x"},{"Name":"x"}]}})", "is there twice"},
      {R"({"Revision":9,"Remove":{"Routes":[3]}})", "Remove.Routes[0]"},
      {R"({"Revision":9,"Remove":{"Services":["wuno96b"]}})", "service 'wuno96b' is unknown"}};
  for (auto& [text, reason] : table) {
    INFO(text);
    CHECK_THAT(refused(patch_configuration(whole, text)), Catch::Contains(reason));
  }
}

TEST_CASE("Documents that differ only in white space are equal") {
  CHECK(platform::same_document(whole, doc().dump()));
  CHECK_FALSE(platform::same_document(whole, "{}"));
  CHECK_FALSE(platform::same_document("{", "{"));
}
