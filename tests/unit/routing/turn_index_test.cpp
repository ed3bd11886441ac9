// Tests the index of a program's turns that its owner builds from the records of the history.
#include "routing/turn_index.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Record reservation(const std::string& attempt, const std::string& parent, uint64_t tokens) {
  Record record{};
  record.kind = RecordKind::reservation;
  record.key = attempt;
  record.parent = parent;
  record.tokens = tokens;
  record.input = "in:" + attempt + ";";
  return record;
}

Record outcome(const std::string& attempt, uint64_t tokens, uint32_t status = 200) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = attempt;
  record.status = status;
  record.tokens = tokens;
  record.output = "out:" + attempt + ";";
  return record;
}

}  // namespace

TEST_CASE("TurnIndex counts a turn's reserved tokens until its outcome, and its spent tokens from then on") {
  Records records{reservation("a", "", 100)};
  TurnIndex index(Epoch{4});
  index.update(records);

  CHECK(index.reserved_tokens() == 100);
  CHECK(index.spent_tokens() == 0);

  records.push_back(outcome("a", 40, 502));
  index.update(records);

  CHECK(index.reserved_tokens() == 0);
  CHECK(index.spent_tokens() == 40);

  REQUIRE(index.find("a"));
  CHECK(index.find("a")->status == 502);
  CHECK(index.find("a")->reservation == 0u);
  CHECK(index.find("a")->outcome == 1u);
  CHECK(index.length() == 2);
}

TEST_CASE("TurnIndex counts a duplicate record once") {
  Records records{reservation("a", "", 100), reservation("a", "", 100), outcome("a", 40), outcome("a", 40)};
  TurnIndex index(Epoch{4});
  index.update(records);

  CHECK(index.reserved_tokens() == 0);
  CHECK(index.spent_tokens() == 40);
  CHECK(index.find("a")->outcome == 2u);
}

TEST_CASE("TurnIndex returns the chain of a turn without interleaved turns of other chains") {
  Records records{reservation("a", "", 1),  outcome("a", 1), reservation("x", "", 1),
                  reservation("b", "a", 1), outcome("x", 1), outcome("b", 1)};
  TurnIndex index(Epoch{4});
  index.update(records);

  CHECK(index.chain_text(records, "b") == "in:a;out:a;in:b;out:b;");
  CHECK(index.chain_text(records, "never").empty());
}

TEST_CASE("TurnIndex treats an outcome without a reservation as an imported chain") {
  Records records{outcome("imported", 0), reservation("b", "imported", 1), outcome("b", 1)};
  TurnIndex index(Epoch{4});
  index.update(records);

  CHECK(index.chain_text(records, "b") == "out:imported;in:b;out:b;");
}

TEST_CASE("TurnIndex returns a chain for turns that form a cycle of parents, without an endless loop") {
  Records records{reservation("a", "b", 1), outcome("a", 1), reservation("b", "a", 1), outcome("b", 1)};
  TurnIndex index(Epoch{4});
  index.update(records);

  CHECK_FALSE(index.chain_text(records, "b").empty());
}
