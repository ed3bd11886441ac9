// Text and JSON formats of commit outcomes, and the JSON format of replicas from operators.
#include "control/admin_json.hpp"
#include "metadata/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using json::Json;

namespace {

CommitReply make_reply(CommitOutcome outcome, const std::string& reason) {
  CommitReply reply{};
  reply.id = "op-1";
  reply.outcome = outcome;
  reply.reason = reason;
  reply.epoch = Epoch{9};
  return reply;
}

}  // namespace

TEST_CASE("A commit's outcome is formatted in the operators' command language") {
  CHECK(describe_outcome(make_reply(CommitOutcome::committed, "")) == "yes epoch 9");
  CHECK(describe_outcome(make_reply(CommitOutcome::rejected, "too few stores")) == "no: too few stores");
  CHECK(describe_outcome(make_reply(CommitOutcome::unknown, "")) == "unknown: retry with op-1");
  CHECK(describe_outcome(make_reply(CommitOutcome::unknown, "cut off")) == "unknown: retry with op-1 (cut off)");
}

TEST_CASE("A committed change returns 200 with its epoch and revision as JSON") {
  auto response = commit_response(make_reply(CommitOutcome::committed, ""), Revision{4});

  CHECK(response.status == 200);
  CHECK(Json::parse(response.body) == Json{{"id", "op-1"}, {"outcome", "yes"}, {"epoch", 9}, {"revision", 4}});
}

TEST_CASE("A rejected change returns 409 with its reason as JSON") {
  auto response = commit_response(make_reply(CommitOutcome::rejected, "too few stores"), Revision{4});

  CHECK(response.status == 409);
  CHECK(Json::parse(response.body) == Json{{"id", "op-1"}, {"outcome", "no"}, {"reason", "too few stores"}});
}

TEST_CASE("A change of unknown outcome returns 503 with a Retry-After header") {
  auto response = commit_response(make_reply(CommitOutcome::unknown, "cut off"), Revision{4});

  CHECK(response.status == 503);
  CHECK(response.headers.at("Retry-After") == "1");
  CHECK(Json::parse(response.body) ==
        Json{{"id", "op-1"}, {"outcome", "unknown"}, {"reason", "retry with the same id: cut off"}});
}

TEST_CASE("A replica's JSON has defaults for its capacity and health") {
  auto replica = parse_replica("model1", R"({"kind":"model","zone":"a","url":"http://10.0.0.1:80"})");

  REQUIRE(replica.ok());
  CHECK(replica.value().name == "model1");
  CHECK(replica.value().capacity == kDefaultReplicaCapacity);
  CHECK(replica.value().health == ReplicaHealth::warming_up);
}

TEST_CASE("Each invalid field of a replica's JSON is reported as an error") {
  const std::string fields = R"("kind":"model","zone":"a","url":"u")";
  const std::pair<std::string, const char*> table[] = {
      {"[]", "body: is no JSON object"},
      {R"({"zone":"a","url":"u"})", "kind: is missing or no string"},
      {R"({"kind":"model","zone":7,"url":"u"})", "zone: is missing or no string"},
      {"{" + fields + R"(,"places":0})", "places: must be a whole number from 1 to 4096"},
      {"{" + fields + R"(,"places":4097})", "places: must be a whole number from 1 to 4096"},
      {"{" + fields + R"(,"places":1.5})", "places: must be a whole number from 1 to 4096"},
      {"{" + fields + R"(,"health":"odd"})", "health: is none of cold, ready, leaving"}};
  for (const auto& [text, error] : table) {
    INFO(text);

    auto replica = parse_replica("model1", text);

    REQUIRE_FALSE(replica.ok());
    CHECK(to_string(replica.errors()) == error);
  }
}
