// Operators' configuration documents: complete, patched and invalid ones.
#include <ctime>
#include <nlohmann/json.hpp>

#include "platform/configuration.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using platform::parse_configuration;
using platform::patch_configuration;
using Json = nlohmann::json;

namespace {

const char* const kDocument = R"({"Revision":7,"Routes":[
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

Json document_json() {
  return Json::parse(kDocument);
}

/// Returns the errors of a document that must be rejected.
std::string rejection_of(const Result<platform::ConfigurationDocument>& result) {
  REQUIRE_FALSE(result.ok());
  return to_string(result.errors());
}

platform::ConfigurationDocument accepted(const Result<platform::ConfigurationDocument>& result) {
  INFO((result.ok() ? "" : to_string(result.errors())));
  REQUIRE(result.ok());
  return result.value();
}

Path streaming_path() {
  Path path{};
  path.name = "r-a";
  path.host = "ficu95.example";
  path.prefix = "/pufi791/";
  path.kind = "streaming";
  path.timeout_ms = 4000;
  path.target_ms = 250;
  path.rank = 2;
  path.attempts = 2;
  path.kept = true;
  path.retention_ms = 60500;
  path.sticky = true;
  path.resumable = false;
  path.gap_ms = 400;
  path.shares = {{"huvo11a", 1}};
  return path;
}

Path split_path() {
  Path path{};
  path.name = "r-b";
  path.host = "ficu95.example";
  path.prefix = "/lohu930/";
  path.kind = "safe";
  path.timeout_ms = 1000;
  path.attempts = 1;
  path.shares = {{"huvo11a", 90}, {"wuno96b", 10}};
  return path;
}

}  // namespace

TEST_CASE("A configuration document parses into routes and services and is kept verbatim") {
  auto parsed = accepted(parse_configuration(kDocument));

  const auto& configuration = parsed.configuration;
  CHECK(parsed.revision == Revision{7});
  CHECK(configuration.document == kDocument);
  CHECK(configuration.cells.empty());

  REQUIRE(configuration.paths.size() == 2);
  CHECK(configuration.paths[0] == streaming_path());
  CHECK(configuration.paths[1] == split_path());

  REQUIRE(configuration.services.size() == 2);
  CHECK(configuration.services[0] == Service{"huvo11a", "/health", 230, 3250, 19.5, 32, 197627, 4});
  CHECK(configuration.services[1] == Service{"wuno96b", "/health", 96, 0, 0, 0, 0, 0});
  CHECK(configuration.callers == CallerLimits{16384, 4194304, 3000, 15000});
}

TEST_CASE("A body that is not a JSON object is rejected as a configuration") {
  const std::string document = kDocument;

  CHECK(rejection_of(parse_configuration(document.substr(0, document.size() / 2))).starts_with("body"));
  CHECK(rejection_of(parse_configuration(document + "}")).starts_with("body"));
  CHECK(rejection_of(parse_configuration("[]")).starts_with("body"));
}

TEST_CASE("Each invalid configuration is rejected with the location of the error") {
  // Each row makes the document invalid with a JSON patch.
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
  for (const auto& [json_patch, reason] : table) {
    INFO(json_patch);
    auto invalid = document_json().patch(Json::parse(json_patch)).dump();

    CHECK_THAT(rejection_of(parse_configuration(invalid)), Catch::Contains(reason));
  }
}

TEST_CASE("Errors of a configuration are listed in document order") {
  auto result = parse_configuration(
      R"({"Revision":7,"Routes":[{"Name":"a"},3,{"Name":"b","TimeoutMs":"x"}],"Services":[4,{"Runtime":5}],"Limits":6})");

  std::vector<std::string> locations;
  REQUIRE_FALSE(result.ok());
  for (const auto& error : result.errors())
    locations.push_back(error.location);

  CHECK(locations == std::vector<std::string>{"Routes[0].Host", "Routes[0].PathPrefix", "Routes[0].RouteKind",
                                              "Routes[0].TimeoutMs", "Routes[0].Service", "Routes[1]", "Routes[2].Host",
                                              "Routes[2].PathPrefix", "Routes[2].RouteKind", "Routes[2].TimeoutMs",
                                              "Routes[2].Service", "Services[0]", "Services[1].Name",
                                              "Services[1].Runtime", "Limits"});
}

TEST_CASE("A configuration revision not above the current one is rejected") {
  auto parsed = accepted(parse_configuration(kDocument));
  Metadata metadata{};
  metadata.revision = Revision{7};
  auto apply_as = [&](Revision revision) {
    return apply(metadata, {Epoch{1}, "", ApplyConfiguration{Revision{7}, parsed.configuration, revision}});
  };

  CHECK_FALSE(apply_as(Revision{6}).ok());
  CHECK_FALSE(apply_as(Revision{7}).ok());

  auto next = apply_as(Revision{12});
  REQUIRE(next.ok());

  CHECK(next.value().revision == Revision{12});
}

TEST_CASE("A configuration patch keeps all items that it does not mention") {
  auto patched = accepted(patch_configuration(kDocument, R"({"Revision":9,"Remove":{"Routes":["r-a","r-unknown"]},
    "Upsert":{
    "Routes":[{"Name":"r-b","Host":"ficu95.example","PathPrefix":"/lohu930/","RouteKind":"safe","TimeoutMs":50,
               "Service":"wuno96b","New":true},
              {"Name":"r-c","Host":"h","PathPrefix":"/","RouteKind":"unsafe","TimeoutMs":7,"Service":"huvo11a"}]}})"));

  auto document = Json::parse(patched.configuration.document);
  CHECK(patched.revision == Revision{9});
  CHECK(document["Revision"] == 9);
  CHECK(document["Extra"] == 1);
  CHECK(document["Services"] == document_json()["Services"]);
  CHECK(document["Limits"] == document_json()["Limits"]);

  REQUIRE(document["Routes"].size() == 2);
  CHECK(document["Routes"][0]["New"] == true);
  CHECK(document["Routes"][1]["Name"] == "r-c");
  CHECK(patched.configuration.paths[0].timeout_ms == 50);
}

TEST_CASE("A configuration patch that adds a service keeps all routes") {
  auto extended =
      accepted(patch_configuration(kDocument, R"({"Revision":8,"Upsert":{"Services":[{"Name":"third"}]}})"));

  CHECK(Json::parse(extended.configuration.document)["Routes"] == document_json()["Routes"]);
  CHECK(extended.configuration.services.size() == 3);
}

TEST_CASE("A configuration patch creates a missing document") {
  CHECK(patch_configuration("", R"({"Revision":1,"Upsert":{"Services":[{"Name":"s"}]}})").ok());
}

namespace {

Json routes_named(int first, int last) {
  auto routes = Json::array();
  for (int number = first; number < last; ++number) {
    auto name = std::to_string(number);
    routes.push_back({{"Name", "r-" + name},
                      {"Host", "ask.example"},
                      {"PathPrefix", "/" + name + "/"},
                      {"RouteKind", "safe"},
                      {"TimeoutMs", 4000},
                      {"Service", "app"},
                      {"MaxAttempts", 1}});
  }
  return routes;
}

}  // namespace

// Guards against patches that take time quadratic in the number of items: no controller answered such a patch within
// its 0.9 s.
TEST_CASE("A configuration patch of thousands of items is applied well within a command's deadline") {
  constexpr int kRoutes = 15000;
  constexpr int kAddedRoutes = 3000;
  constexpr double kCommandTimeoutSeconds = 0.9;
  Json document{{"Routes", routes_named(0, kRoutes)}, {"Services", Json::array({{{"Name", "app"}}})}};
  Json patch{{"Revision", 9},
             {"Remove", {{"Routes", {"r-0", "r-1"}}}},
             {"Upsert", {{"Routes", routes_named(kRoutes - kAddedRoutes / 2, kRoutes + kAddedRoutes / 2)}}}};
  auto document_text = document.dump();
  auto patch_text = patch.dump();

  auto begin = std::clock();
  auto patched = accepted(patch_configuration(document_text, patch_text));
  auto seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;

  CHECK(patched.configuration.paths.size() == kRoutes + kAddedRoutes / 2 - 2);
  CHECK(seconds < kCommandTimeoutSeconds);
}

TEST_CASE("Each invalid configuration patch is rejected with the location of the error") {
  const std::pair<const char*, const char*> table[] = {
      {R"({"Revision":9,"Ups)", "body"},
      {R"({"Upsert":{}})", "Revision: is missing"},
      {R"({"Revision":9,"Upsert":7})", "Upsert: must be"},
      {R"({"Revision":9,"Upsert":{"Routes":{}}})", "Upsert.Routes"},
      {R"({"Revision":9,"Upsert":{"Routes":[{"Host":"h"}]}})", "Upsert.Routes[0].Name"},
      {R"({"Revision":9,"Upsert":{"Services":[{"Name":"x"},{"Name":"x"}]}})", "is there twice"},
      {R"({"Revision":9,"Remove":{"Routes":[3]}})", "Remove.Routes[0]"},
      {R"({"Revision":9,"Remove":{"Services":["wuno96b"]}})", "service 'wuno96b' is unknown"}};
  for (const auto& [patch, reason] : table) {
    INFO(patch);
    CHECK_THAT(rejection_of(patch_configuration(kDocument, patch)), Catch::Contains(reason));
  }
}

TEST_CASE("Documents that differ only in white space are equal") {
  CHECK(platform::same_document(kDocument, document_json().dump()));
  CHECK_FALSE(platform::same_document(kDocument, "{}"));
  CHECK_FALSE(platform::same_document("{", "{"));
}
