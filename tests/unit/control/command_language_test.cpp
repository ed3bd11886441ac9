// The operators' command language: parsing of sentences, translation of commands, and error messages.
#include "control/command_language.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// Parses a sentence and translates it into a transformation, based on this metadata.
Transformation transformation_of(const std::string& sentence, const Metadata& metadata) {
  auto command = command_language::parse(sentence);
  REQUIRE(command.ok());
  auto change = command_language::to_transformation(command.value(), metadata);
  REQUIRE(change.ok());
  return change.value();
}

}  // namespace

TEST_CASE("The command parser reports the position of an error and the expected words") {
  struct Row {
    const char* sentence;
    const char* error;
  };
  const Row table[] = {
      {"",
       "position 1: expected 'show', 'explain', 'create', 'drop', 'set', 'rebuild', 'drain', 'restore', 'retire', "
       "'cancel', 'replace', 'forget' or 'move', found the end"},
      {"show",
       "position 5: expected 'fleet', 'epoch', 'cells', 'replicas', 'slots', 'sequences', 'configuration' or 'cell', "
       "found the end"},
      {"drain zone", "position 11: expected a zone's name, found the end"},
      {"retire store seven", "position 14: expected a daemon's number, found 'seven'"},
      {"show fleet now", "position 12: expected the end of the sentence, found 'now'"},
      {"rebuild core without", "position 21: expected a daemon's number, found the end"},
      {"rebuild core without 1 x", "position 24: expected the end of the sentence or a daemon's number, found 'x'"},
      {"replace core 1 by 2", "position 16: expected 'with', found 'by'"},
  };
  for (const auto& row : table) {
    INFO(row.sentence);

    auto command = command_language::parse(row.sentence);

    REQUIRE_FALSE(command.ok());
    CHECK(to_string(command.errors()) == row.error);
  }
}

TEST_CASE("A command translates into its transformation regardless of the spaces between its words") {
  CHECK(transformation_of("retire  store 7", Metadata{}) == Transformation{PrepareDrain{DaemonId{7}}});
}

TEST_CASE("A command that creates a cell translates into a configuration based on the current revision") {
  Metadata metadata{};
  metadata.revision = Revision{4};

  auto change = transformation_of("create cell news budget 400 turn 40 retention 60000", metadata);

  const auto& apply = std::get<ApplyConfiguration>(change);
  CHECK(apply.base == Revision{4});
  CHECK(apply.configuration.cells.at(0).budget == 400);
}

TEST_CASE("A command that drops an unknown cell does not translate") {
  auto drop = command_language::parse("drop cell news");
  REQUIRE(drop.ok());

  CHECK_FALSE(command_language::to_transformation(drop.value(), Metadata{}).ok());
}

TEST_CASE("Each sentence for a transformation translates into it") {
  const std::pair<const char*, Transformation> changes[] = {
      {"drain zone a", EvacuateZone{"a"}},
      {"restore zone a", RestoreZone{"a"}},
      {"drain node 3", PrepareDrain{DaemonId{3}}},
      {"cancel sequence 3", CancelSequence{DaemonId{3}, "the operator asked"}},
      {"replace core 1 with 2", ReplaceCoreMember{DaemonId{1}, DaemonId{2}}},
      {"forget replica model1", RemoveReplica{"model1"}},
      {"move routes from 1 to 2", MoveAllPartitions{DaemonId{1}, DaemonId{2}}},
      {"move slot 9 to 2", MovePartition{PartitionId{9}, DaemonId{2}}},
  };
  for (const auto& [sentence, expected] : changes) {
    INFO(sentence);
    CHECK(transformation_of(sentence, Metadata{}) == expected);
  }
}

TEST_CASE("A sentence that rebuilds the core lists all lost members") {
  auto rebuild = command_language::parse("rebuild core without 1 2");

  REQUIRE(rebuild.ok());
  CHECK(std::get<command_language::RebuildCore>(rebuild.value()).lost ==
        std::vector<DaemonId>{DaemonId{1}, DaemonId{2}});
}

TEST_CASE("Cell commands change the one property that they name") {
  Metadata metadata{};
  metadata.configuration.cells = {{"news", 400, 40, 60000, {}}};
  auto cell_after = [&](const std::string& sentence) {
    return std::get<ApplyConfiguration>(transformation_of(sentence, metadata)).configuration.cells.at(0);
  };

  CHECK(cell_after("set cell news budget 7") == Cell{"news", 7, 40, 60000, {}});
  CHECK(cell_after("set cell news turn 7") == Cell{"news", 400, 7, 60000, {}});
  CHECK(cell_after("set cell news retention 7") == Cell{"news", 400, 40, 7, {}});
  CHECK(std::get<ApplyConfiguration>(transformation_of("drop cell news", metadata)).configuration.cells.empty());
}

TEST_CASE("Queries for unknown items are rejected with the reason") {
  using command_language::ExplainQuery;
  using command_language::ShowQuery;
  Metadata metadata{};
  metadata.epoch = Epoch{5};
  auto explain = [&](ExplainQuery::Subject subject, const std::string& name) {
    return command_language::explain({subject, name}, metadata, {});
  };

  CHECK(command_language::show({ShowQuery::Subject::cell, "news"}, metadata) == "no: cell news is unknown");
  CHECK(explain(ExplainQuery::Subject::node, "007") == "no: daemon 007 is unknown");
  CHECK(explain(ExplainQuery::Subject::node, "seven") == "no: 'seven' is no number");
  CHECK(explain(ExplainQuery::Subject::partition, "64") == "no: slot 64 is unknown");
  CHECK(explain(ExplainQuery::Subject::epoch, "5") == "no: epoch 5 lies behind the checkpoint");
  CHECK(explain(ExplainQuery::Subject::epoch, "6") == "no: epoch 6 is not reached yet");
  CHECK(explain(ExplainQuery::Subject::program, "news") == "no: a program is named CELL/PROGRAM");
}
