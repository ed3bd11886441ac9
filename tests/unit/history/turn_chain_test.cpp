// The text of a chain of turns, which a new turn continues.
#include "history/turn_chain.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Record reservation_of(const std::string& turn, const std::string& parent, const std::string& input) {
  Record record{};
  record.kind = RecordKind::reservation;
  record.key = turn;
  record.parent = parent;
  record.input = input;
  return record;
}

Record outcome_of(const std::string& turn, uint32_t status, const std::string& output) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = turn;
  record.status = status;
  record.output = output;
  return record;
}

}  // namespace

TEST_CASE("A chain's text is that of its turns from the first to the last") {
  Records records{reservation_of("a", "", "in a;"), outcome_of("a", 200, "out a;"), reservation_of("b", "a", "in b;"),
                  outcome_of("b", 200, "out b;"), reservation_of("other", "a", "in other;")};

  CHECK(chain_text(records, "b") == "in a;out a;in b;out b;");
  CHECK(chain_text(records, "a") == "in a;out a;");
}

TEST_CASE("A chain may begin with an outcome imported from another program") {
  Records records{outcome_of("old", 200, "all before;"), reservation_of("b", "old", "in b;"),
                  outcome_of("b", 200, "out b;")};

  CHECK(chain_text(records, "b") == "all before;in b;out b;");
}

TEST_CASE("A chain with a turn that failed, has no outcome or is missing has no text") {
  Records failed{reservation_of("a", "", "in;"), outcome_of("a", 502, "reason")};
  Records without_outcome{reservation_of("a", "", "in;")};
  Records without_parent{reservation_of("b", "a", "in;"), outcome_of("b", 200, "out;")};

  CHECK_FALSE(chain_text(failed, "a"));
  CHECK_FALSE(chain_text(without_outcome, "a"));
  CHECK_FALSE(chain_text(without_parent, "b"));
}

TEST_CASE("The text of a chain whose damaged records form a cycle is found without an endless loop") {
  Records cycle{reservation_of("a", "b", "in a;"), outcome_of("a", 200, "out a;"), reservation_of("b", "a", "in b;"),
                outcome_of("b", 200, "out b;")};

  CHECK(chain_text(cycle, "a"));
}
