// Tests how turns are reconstructed from the records of a history.
#include <nlohmann/json.hpp>

#include "programs/turn_log.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Record reservation(const std::string& key, const std::string& thread, const std::string& input, uint64_t tokens) {
  Record record{};
  record.kind = RecordKind::reservation;
  record.key = key;
  record.thread = thread;
  record.input = input;
  record.tokens = tokens;
  return record;
}

Record outcome(const std::string& key, const std::string& thread, uint32_t status, const std::string& output,
               uint64_t tokens) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = key;
  record.thread = thread;
  record.status = status;
  record.output = output;
  record.tokens = tokens;
  return record;
}

}  // namespace

TEST_CASE("turns_by_key distinguishes open turns, completed turns and turns that were not executed") {
  Records records{reservation("open", "main", "a", 10), reservation("done", "main", "b", 10),
                  outcome("done", "main", 200, "B", 4), reservation("not-run", "main", "c", 10),
                  outcome("not-run", "main", 0, "", 0)};

  auto turns = turns_by_key(records);

  REQUIRE(turns.size() == 3);
  CHECK(turns["open"].is_open());
  CHECK_FALSE(turns["open"].has_not_run());
  CHECK_FALSE(turns["done"].is_open());
  CHECK_FALSE(turns["done"].has_not_run());
  CHECK(turns["done"].reservation == &records[1]);
  CHECK(turns["done"].latest == &records[2]);
  CHECK(turns["not-run"].has_not_run());
}

TEST_CASE("turns_by_key treats a key that is reserved again after a turn that was not executed as open") {
  Records records{reservation("k", "main", "a", 10), outcome("k", "main", 0, "", 0), reservation("k", "main", "a", 10)};

  auto turns = turns_by_key(records);

  CHECK(turns["k"].is_open());
  CHECK(turns["k"].reservation == &records[2]);
}

TEST_CASE("conversation returns the successful turns of one thread in their order") {
  Records records{reservation("k1", "main", "a", 10),      outcome("k1", "main", 200, "A", 4),
                  reservation("h1", "sub-agent", "x", 10), outcome("h1", "sub-agent", 200, "X", 4),
                  reservation("k2", "main", "b", 10),      outcome("k2", "main", 502, "broken", 10),
                  reservation("k3", "main", "c", 10),      outcome("k3", "main", 200, "C", 4),
                  reservation("k4", "main", "d", 10)};

  auto turns = conversation(records, "main");

  REQUIRE(turns.size() == 2);
  CHECK(turns[0].input == "a");
  CHECK(turns[0].output == "A");
  CHECK(turns[1].input == "c");
  CHECK(turns[1].output == "C");
}

TEST_CASE("history_json lists completed turns and sums up spent and reserved tokens") {
  Records records{reservation("k1", "main", "a", 10), outcome("k1", "main", 200, "A", 4),
                  reservation("k2", "main", "b", 10)};

  auto json = nlohmann::json::parse(history_json("p", records, 100));

  CHECK(json["program"] == "p");

  REQUIRE(json["turns"].size() == 1);
  CHECK(json["turns"][0]["key"] == "k1");
  CHECK(json["turns"][0]["input"] == "a");
  CHECK(json["turns"][0]["output"] == "A");
  CHECK(json["tokens"] == nlohmann::json{{"spent", 4}, {"reserved", 10}, {"budget", 100}});
}
