#include <catch2/catch.hpp>

#include "control/command_language.hpp"

using namespace mosskeel;

TEST_CASE("The command parser reports the position of an error and the expected words") {
  struct Row {
    const char *sentence, *finding;
  };
  const Row rows[] = {
      {"",
       "position 1: expected 'show', 'explain', 'create', 'drop', 'set', 'rebuild', 'drain', 'restore', 'retire', "
       "'cancel', "
       "'replace', 'forget' or 'move', found the end"},
      {"show",
       "position 5: expected 'fleet', 'epoch', 'cells', 'replicas', 'slots', 'sequences', 'configuration' or 'cell', "
       "found "
       "the end"},
      {"drain zone", "position 11: expected a zone's name, found the end"},
      {"retire store seven", "position 14: expected a daemon's number, found 'seven'"},
      {"show fleet now", "position 12: expected the end of the sentence, found 'now'"},
      {"rebuild core without", "position 21: expected a daemon's number, found the end"},
      {"rebuild core without 1 x", "position 24: expected the end of the sentence or a daemon's number, found 'x'"},
      {"replace core 1 by 2", "position 16: expected 'with', found 'by'"},
  };
  for (auto& r : rows) {
    auto c = command_language::parse(r.sentence);
    REQUIRE_FALSE(c.ok());
    CHECK(to_string(c.errors()) == r.finding);
  }
}

TEST_CASE("Commands translate into the transformations they name") {
  auto c = command_language::parse("retire  store 7");
  REQUIRE(c.ok());
  auto t = command_language::to_transformation(c.value(), Metadata{});
  REQUIRE(t.ok());
  CHECK(t.value() == Transformation{PrepareDrain{DaemonId{7}}});
  Metadata m{};
  m.revision = Revision{4};
  auto d = command_language::to_transformation(
      command_language::parse("create cell news budget 400 turn 40 retention 60000").value(), m);
  REQUIRE(d.ok());
  auto& a = std::get<ApplyConfiguration>(d.value());
  CHECK(a.base == Revision{4});
  CHECK(a.configuration.cells.at(0).budget == 400);
  CHECK(command_language::to_transformation(command_language::parse("drop cell news").value(), m).ok() == false);
}
