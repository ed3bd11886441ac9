// Operators' HTTP requests in the platform's format: the commands they issue and the statuses they return.
#include "control/control_protocol.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using Code = CommandResult::Code;

namespace {

constexpr const char* kConfigPath = "/v1/config";
const char* const kDocument = R"({"Revision":7,"Routes":[],"Services":[{"Name":"s"}]})";

/// A patch that adds the service "t".
const char* const kAddService = R"({"Revision":9,"Upsert":{"Services":[{"Name":"t"}]}})";

const ControlProtocol& protocol() {
  const auto* found = find_control_protocol("platform");
  REQUIRE(found);
  return *found;
}

/// Returns scripted results and records the commands it receives.
struct FakeCluster : ClusterControl {
  std::optional<Unavailable> unavailable;
  Metadata metadata{};
  CommandResult result{Code::done, ""};
  RetirementState state = RetirementState::serving;
  /// If set, no majority answers reads.
  bool is_isolated = false;
  /// The commit ids of configuration changes, and the text of all other commands.
  std::vector<std::string> commands;
  Revision base{};
  Revision revision{};
  Configuration configuration{};

  std::optional<Unavailable> unavailability() override { return unavailable; }
  MetadataSnapshot read_metadata() override { return is_isolated ? nullptr : std::make_shared<Metadata>(metadata); }

  CommandResult wait_until_in_force() override {
    commands.push_back("wait");
    return {Code::done, ""};
  }

  CommandResult apply_configuration(const std::string& commit_id, Revision base_revision, Revision own_revision,
                                    const Configuration& applied) override {
    base = base_revision;
    revision = own_revision;
    configuration = applied;
    return record(commit_id);
  }

  CommandResult evacuate(const std::string& zone) override { return record("evacuate " + zone); }
  CommandResult restore(const std::string& zone) override { return record("restore " + zone); }
  CommandResult retire(const std::string& machine) override { return record("retire " + machine); }
  RetirementState retirement_state(const std::string&) override { return state; }

  CommandResult record(const std::string& command) {
    commands.push_back(command);
    return result;
  }

  ApiResponse request(const std::string& method, const std::string& path, const std::string& body = "",
                      const std::string& if_match = "") {
    ApiRequest request{method, path, body, {}, {}};
    if (!if_match.empty())
      request.headers["if-match"] = if_match;
    auto response = protocol().answer(request, *this);
    REQUIRE(response);
    return *response;
  }

  ApiResponse put(const std::string& body, const std::string& if_match) {
    return request("PUT", kConfigPath, body, if_match);
  }

  ApiResponse patch(const std::string& body, const std::string& if_match) {
    return request("PATCH", kConfigPath, body, if_match);
  }
};

/// A cluster with a document in force at revision 7.
FakeCluster configured_cluster() {
  FakeCluster cluster;
  cluster.metadata.configuration.document = kDocument;
  cluster.metadata.revision = Revision{7};
  return cluster;
}

}  // namespace

TEST_CASE("PUT config applies a complete configuration on the revision in If-Match") {
  FakeCluster cluster;

  CHECK(cluster.put(kDocument, "5").status == 200);

  CHECK(cluster.base == Revision{5});
  CHECK(cluster.revision == Revision{7});
  CHECK(cluster.configuration.document == kDocument);
}

TEST_CASE("PUT config gives equal requests equal commit ids, whether or not their revision is quoted") {
  FakeCluster cluster;

  cluster.put(kDocument, "5");
  cluster.put(kDocument, "\"5\"");
  REQUIRE(cluster.commands.size() == 2);

  CHECK(cluster.commands[0] == cluster.commands[1]);

  cluster.put(kDocument, "6");
  REQUIRE(cluster.commands.size() == 3);

  CHECK(cluster.commands[2] != cluster.commands[0]);
}

TEST_CASE("PUT config rejects a request without a revision in If-Match or with a truncated document") {
  FakeCluster cluster;

  CHECK(cluster.put(kDocument, "").status == 400);
  CHECK(cluster.put(kDocument, "five").status == 400);
  CHECK(cluster.put("{\"Rev", "5").status == 400);
  CHECK(cluster.commands.empty());
}

TEST_CASE("Invalid configuration requests return 400 and issue no command") {
  struct Row {
    const char* method;
    const char* if_match;
    const char* body;
  };
  const Row table[] = {
      {"PUT", "", kDocument},
      {"PUT", "five", kDocument},
      {"PUT", "-5", kDocument},
      {"PUT", "5 6", kDocument},
      {"PUT", "\"5", kDocument},
      {"PUT", "\"\"", kDocument},
      {"PUT", "*", kDocument},
      {"PUT", "5.0", kDocument},
      {"PUT", "99999999999999999999", kDocument},
      {"PUT", "5", ""},
      {"PUT", "5", "null"},
      {"PUT", "5", "[]"},
      {"PUT", "5", "7"},
      {"PUT", "5", "\xff\xfe"},
      {"PUT", "5", "{}"},
      {"PUT", "5", R"({"Revision":7,"Routes":[],"Services":[]} x)"},
      {"PUT", "5", R"({"Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":0,"Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":-7,"Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":7.5,"Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":"7","Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":1e30,"Routes":[],"Services":[]})"},
      {"PUT", "5", R"({"Revision":7,"Routes":{},"Services":[]})"},
      {"PUT", "5", R"({"Revision":7,"Routes":[1],"Services":[]})"},
      {"PUT", "5", R"({"Revision":7,"Routes":[{"Name":"r"}],"Services":[]})"},
      {"PUT", "5", R"({"Revision":7,"Routes":[],"Services":[{"Name":"s"},{"Name":"s"}]})"},
      {"PUT", "5", R"({"Revision":7,"Routes":[],"Services":[],"Limits":3})"},
      {"PATCH", "", R"({"Revision":9})"},
      {"PATCH", "five", R"({"Revision":9})"},
      {"PATCH", "7", ""},
      {"PATCH", "7", "{}"},
      {"PATCH", "7", "[]"},
      {"PATCH", "7", R"({"Revision":9,"Upsert":[]})"},
      {"PATCH", "7", R"({"Revision":9,"Upsert":{"Services":{}}})"},
      {"PATCH", "7", R"({"Revision":9,"Upsert":{"Services":[{}]}})"},
      {"PATCH", "7", R"({"Revision":9,"Upsert":{"Services":[{"Name":"t"},{"Name":"t"}]}})"},
      {"PATCH", "7", R"({"Revision":9,"Remove":{"Services":[3]}})"},
      {"PATCH", "7", R"({"Revision":9,"Remove":{"Services":"s"}})"},
      {"PATCH", "7", R"({"Upsert":{"Services":[{"Name":"t"}]}})"},
  };
  for (const auto& row : table) {
    INFO(row.method << " If-Match '" << row.if_match << "' " << row.body);
    auto cluster = configured_cluster();

    auto response = cluster.request(row.method, kConfigPath, row.body, row.if_match);

    CHECK(response.status == 400);
    CHECK(cluster.commands.empty());
  }
}

TEST_CASE("PUT config rejects a body truncated at any byte") {
  const std::string complete = kDocument;
  for (size_t length = 0; length < complete.size(); ++length) {
    INFO(length << " bytes");
    FakeCluster cluster;

    CHECK(cluster.put(complete.substr(0, length), "5").status == 400);
    CHECK(cluster.commands.empty());
  }
}

TEST_CASE("PUT config accepts unknown fields") {
  FakeCluster cluster;
  auto with_unknown_fields = R"({"Revision":7,"Routes":[],"Services":[{"Name":"s","New":{"a":[1]}}],"Later":1})";

  CHECK(cluster.put(with_unknown_fields, "5").status == 200);
}

namespace {

constexpr size_t kManyRoutes = 3000;

/// A document of revision 8 with routes "r0" to "r2999".
std::string document_with_many_routes() {
  std::string routes;
  for (size_t i = 0; i < kManyRoutes; ++i) {
    auto number = std::to_string(i);
    routes += (i ? "," : "") + std::string(R"({"Name":"r)") + number + R"(","Host":"h)" + number +
              R"(.example","PathPrefix":"/p/","RouteKind":"safe","TimeoutMs":1000,"MaxAttempts":2,"Service":"s"})";
  }
  return R"({"Revision":8,"Routes":[)" + routes + R"(],"Services":[{"Name":"s"}]})";
}

}  // namespace

TEST_CASE("PUT and PATCH config accept thousands of routes") {
  FakeCluster cluster;
  auto document = document_with_many_routes();

  CHECK(cluster.put(document, "7").status == 200);
  CHECK(cluster.configuration.paths.size() == kManyRoutes);

  cluster.metadata.configuration.document = document;
  cluster.metadata.revision = Revision{8};

  CHECK(cluster.patch(R"({"Revision":9,"Remove":{"Routes":["r17"]}})", "8").status == 200);
  CHECK(cluster.configuration.paths.size() == kManyRoutes - 1);
}

TEST_CASE("PATCH config returns 412 for another revision and 503 for a forgotten one") {
  auto cluster = configured_cluster();
  cluster.metadata.applied_configurations = {{Revision{5}, Epoch{3}, 1}};

  CHECK(cluster.patch(kAddService, "6").status == 412);
  CHECK(cluster.patch(kAddService, "5").status == 412);
  CHECK(cluster.patch(kAddService, "8").status == 412);
  CHECK(cluster.patch(kAddService, "18446744073709551615").status == 412);
  CHECK(cluster.patch(kAddService, "4").status == 503);
  CHECK(cluster.commands.empty());
}

TEST_CASE("Command results map to HTTP statuses") {
  const std::pair<Code, uint32_t> table[] = {{Code::done, 200},      {Code::revision_mismatch, 412},
                                             {Code::invalid, 400},   {Code::rejected, 409},
                                             {Code::not_found, 404}, {Code::outcome_unknown, 503}};
  for (const auto& [code, status] : table) {
    INFO("status " << status);
    FakeCluster cluster;
    cluster.result.code = code;

    CHECK(cluster.put(kDocument, "5").status == status);
    CHECK(cluster.request("POST", "/v1/evacuate/a").status == status);
    CHECK(cluster.request("DELETE", "/v1/evacuate/a").status == status);

    auto retirement = cluster.request("POST", "/v1/retire/store-1", "{\"DeadlineS\":10}");
    CHECK(retirement.status == status);
    CHECK(retirement.headers.count("Retry-After") == (status == 503));
  }
}

TEST_CASE("PUT config acknowledges a document already in force on another revision") {
  FakeCluster cluster;
  cluster.result.code = Code::revision_mismatch;
  cluster.metadata.configuration.document = R"({ "Revision": 7, "Services": [{"Name":"s"}], "Routes": [] })";

  CHECK(cluster.put(kDocument, "5").status == 200);
  CHECK(cluster.commands.back() == "wait");
}

TEST_CASE("PUT config on another revision returns 412, and 503 if the configuration in force is unknown") {
  FakeCluster cluster;
  cluster.result.code = Code::revision_mismatch;
  cluster.metadata.configuration.document = "{}";

  CHECK(cluster.put(kDocument, "5").status == 412);

  cluster.is_isolated = true;

  CHECK(cluster.put(kDocument, "5").status == 503);
}

TEST_CASE("PATCH config changes the named items on the revision in If-Match") {
  auto cluster = configured_cluster();

  CHECK(cluster.patch(kAddService, "7").status == 200);
  CHECK(cluster.revision == Revision{9});
  CHECK(cluster.configuration.services.size() == 2);

  CHECK(cluster.patch(kAddService, "6").status == 412);
  CHECK(cluster.patch("{}", "7").status == 400);
}

TEST_CASE("PATCH config acknowledges a retry, and returns 503 if it is unknown whether the request is one") {
  auto cluster = configured_cluster();
  REQUIRE(cluster.patch(kAddService, "7").status == 200);
  auto commit_id = cluster.commands.front();
  cluster.metadata.revision = Revision{9};
  cluster.metadata.applied_commits.push_back({commit_id, Epoch{3}});

  CHECK(cluster.patch(kAddService, "7").status == 200);
  CHECK(cluster.commands.back() == commit_id);

  cluster.is_isolated = true;

  CHECK(cluster.patch(kAddService, "7").status == 503);
}

TEST_CASE("GET config returns the document only after a linearizable read") {
  FakeCluster cluster;
  CHECK(cluster.request("GET", kConfigPath).status == 404);

  cluster.metadata.configuration.document = kDocument;
  CHECK(cluster.request("GET", kConfigPath).body == kDocument);

  cluster.is_isolated = true;
  CHECK(cluster.request("GET", kConfigPath).status == 503);
}

TEST_CASE("Each retirement state maps to an HTTP response") {
  FakeCluster cluster;

  CHECK(cluster.request("GET", "/v1/retire/store-1").body == "{\"State\":\"serving\"}\n");

  cluster.state = RetirementState::finished;
  CHECK(cluster.request("GET", "/v1/retire/store-1").body == "{\"State\":\"finished\"}\n");

  cluster.state = RetirementState::unknown_machine;
  CHECK(cluster.request("GET", "/v1/retire/store-1").status == 404);

  cluster.state = RetirementState::unconfirmed;
  CHECK(cluster.request("GET", "/v1/retire/store-1").status == 503);
}

TEST_CASE("A controller outside the core redirects requests to a member, and returns 503 if it knows none") {
  FakeCluster cluster;
  cluster.unavailable = ClusterControl::Unavailable{"10.0.0.4:8080", "no member"};

  auto redirected = cluster.request("POST", "/v1/evacuate/a");

  CHECK(redirected.status == 307);
  CHECK(redirected.headers["Location"] == "http://10.0.0.4:8080/v1/evacuate/a");

  cluster.unavailable->redirect_to.clear();

  CHECK(cluster.request("GET", kConfigPath).status == 503);
  CHECK(cluster.commands.empty());
}

TEST_CASE("Requests for paths outside the platform's protocol are not answered") {
  FakeCluster cluster;
  for (const auto* path : {"/v1/cluster/configuration", "/v1/evacuate/", "/v1/retire/a/b", "/v1/say"}) {
    INFO(path);
    CHECK_FALSE(protocol().answer({"POST", path, "", {}, {}}, cluster));
  }
}
