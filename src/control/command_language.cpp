#include "control/command_language.hpp"

#include "control/sentence_reader.hpp"

namespace mosskeel::command_language {
namespace {

/// The command parsed from a sentence; nullopt if the reader holds an error.
using ParsedCommand = std::optional<Command>;

ParsedCommand parse_show(SentenceReader& reader) {
  using Subject = ShowQuery::Subject;
  constexpr std::pair<const char*, Subject> subjects[] = {{"fleet", Subject::fleet},
                                                          {"epoch", Subject::epoch},
                                                          {"cells", Subject::cells},
                                                          {"replicas", Subject::replicas},
                                                          {"slots", Subject::partitions},
                                                          {"sequences", Subject::sequences},
                                                          {"configuration", Subject::configuration}};
  for (const auto& [keyword, subject] : subjects) {
    if (reader.accept(keyword))
      return ShowQuery{subject, ""};
  }
  if (!reader.accept("cell"))
    return std::nullopt;
  auto name = reader.word("a cell's name");
  if (!name)
    return std::nullopt;
  return ShowQuery{Subject::cell, *name};
}

ParsedCommand parse_explain(SentenceReader& reader) {
  using Subject = ExplainQuery::Subject;
  constexpr std::pair<const char*, Subject> subjects[] = {
      {"node", Subject::node}, {"slot", Subject::partition}, {"epoch", Subject::epoch}, {"program", Subject::program}};
  for (const auto& [keyword, subject] : subjects) {
    if (!reader.accept(keyword))
      continue;
    auto name = reader.word(subject == Subject::program ? "CELL/PROGRAM" : "a number");
    if (!name)
      return std::nullopt;
    return ExplainQuery{subject, *name};
  }
  return std::nullopt;
}

ParsedCommand parse_create(SentenceReader& reader) {
  if (!reader.accept("cell"))
    return std::nullopt;
  auto name = reader.word("a cell's name");
  if (!name || !reader.accept("budget"))
    return std::nullopt;
  auto budget = reader.number("tokens");
  if (!budget || !reader.accept("turn"))
    return std::nullopt;
  auto turn_limit = reader.number("tokens");
  if (!turn_limit || !reader.accept("retention"))
    return std::nullopt;
  auto retention = reader.number("milliseconds");
  if (!retention)
    return std::nullopt;
  Cell cell{};
  cell.name = *name;
  cell.budget = *budget;
  cell.turn_limit = *turn_limit;
  cell.retention_ms = static_cast<int64_t>(*retention);
  cell.routes = {{"chat", "model", {}}, {"app", "app", {}}};
  return CreateCell{cell};
}

ParsedCommand parse_drop(SentenceReader& reader) {
  if (!reader.accept("cell"))
    return std::nullopt;
  auto name = reader.word("a cell's name");
  if (!name)
    return std::nullopt;
  return DropCell{*name};
}

ParsedCommand parse_set(SentenceReader& reader) {
  using Property = UpdateCell::Property;
  constexpr std::pair<const char*, Property> properties[] = {
      {"budget", Property::budget}, {"turn", Property::turn_limit}, {"retention", Property::retention}};
  if (!reader.accept("cell"))
    return std::nullopt;
  auto name = reader.word("a cell's name");
  if (!name)
    return std::nullopt;
  for (const auto& [keyword, property] : properties) {
    if (!reader.accept(keyword))
      continue;
    auto value = reader.number("a number");
    if (!value)
      return std::nullopt;
    return UpdateCell{*name, property, *value};
  }
  return std::nullopt;
}

ParsedCommand parse_rebuild(SentenceReader& reader) {
  if (!reader.accept("core") || !reader.accept("without"))
    return std::nullopt;
  RebuildCore command;
  do {
    auto member = reader.daemon_id();
    if (!member)
      return std::nullopt;
    command.lost.push_back(*member);
  } while (!reader.at_end());
  return command;
}

ParsedCommand parse_drain(SentenceReader& reader) {
  if (reader.accept("zone")) {
    auto zone = reader.word("a zone's name");
    if (!zone)
      return std::nullopt;
    return Transformation{EvacuateZone{*zone}};
  }
  if (!reader.accept("node"))
    return std::nullopt;
  auto daemon = reader.daemon_id();
  if (!daemon)
    return std::nullopt;
  return Transformation{PrepareDrain{*daemon}};
}

ParsedCommand parse_restore(SentenceReader& reader) {
  if (!reader.accept("zone"))
    return std::nullopt;
  auto zone = reader.word("a zone's name");
  if (!zone)
    return std::nullopt;
  return Transformation{RestoreZone{*zone}};
}

ParsedCommand parse_retire(SentenceReader& reader) {
  if (!reader.accept("store"))
    return std::nullopt;
  auto store = reader.daemon_id();
  if (!store)
    return std::nullopt;
  return Transformation{PrepareDrain{*store}};
}

ParsedCommand parse_cancel(SentenceReader& reader) {
  if (!reader.accept("sequence"))
    return std::nullopt;
  auto daemon = reader.daemon_id();
  if (!daemon)
    return std::nullopt;
  return Transformation{CancelSequence{*daemon, "the operator asked"}};
}

ParsedCommand parse_replace(SentenceReader& reader) {
  if (!reader.accept("core"))
    return std::nullopt;
  auto member = reader.daemon_id();
  if (!member || !reader.accept("with"))
    return std::nullopt;
  auto successor = reader.daemon_id();
  if (!successor)
    return std::nullopt;
  return Transformation{ReplaceCoreMember{*member, *successor}};
}

ParsedCommand parse_forget(SentenceReader& reader) {
  if (!reader.accept("replica"))
    return std::nullopt;
  auto name = reader.word("a replica's name");
  if (!name)
    return std::nullopt;
  return Transformation{RemoveReplica{*name}};
}

ParsedCommand parse_move(SentenceReader& reader) {
  if (reader.accept("routes")) {
    if (!reader.accept("from"))
      return std::nullopt;
    auto from = reader.daemon_id();
    if (!from || !reader.accept("to"))
      return std::nullopt;
    auto to = reader.daemon_id();
    if (!to)
      return std::nullopt;
    return Transformation{MoveAllPartitions{*from, *to}};
  }
  if (!reader.accept("slot"))
    return std::nullopt;
  auto partition = reader.number("a slot's number");
  if (!partition || !reader.accept("to"))
    return std::nullopt;
  auto owner = reader.daemon_id();
  if (!owner)
    return std::nullopt;
  return Transformation{MovePartition{PartitionId{static_cast<uint32_t>(*partition)}, *owner}};
}

/// The first word of a sentence and the parser for the rest.
struct Rule {
  const char* keyword;
  ParsedCommand (*parse)(SentenceReader&);
};

constexpr Rule kRules[] = {{"show", parse_show},     {"explain", parse_explain}, {"create", parse_create},
                           {"drop", parse_drop},     {"set", parse_set},         {"rebuild", parse_rebuild},
                           {"drain", parse_drain},   {"restore", parse_restore}, {"retire", parse_retire},
                           {"cancel", parse_cancel}, {"replace", parse_replace}, {"forget", parse_forget},
                           {"move", parse_move}};

}  // namespace

Result<Command> parse(const std::string& sentence) {
  SentenceReader reader(sentence);
  for (const auto& rule : kRules) {
    if (!reader.accept(rule.keyword))
      continue;
    auto command = rule.parse(reader);
    if (!command || !reader.at_end())
      return reader.error();
    return *command;
  }
  return reader.error();
}

}  // namespace mosskeel::command_language
