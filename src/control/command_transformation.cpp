// Converts commands to changes of the log.
#include <algorithm>

#include "control/command_language.hpp"

namespace mosskeel::command_language {
namespace {

std::vector<Cell>::iterator find_cell(Configuration& configuration, const std::string& name) {
  return std::find_if(configuration.cells.begin(), configuration.cells.end(),
                      [&](const Cell& cell) { return cell.name == name; });
}

Errors unknown_cell(const std::string& name) {
  return {{"cell " + name, "is unknown"}};
}

Errors edit(Configuration& configuration, const CreateCell& command) {
  if (find_cell(configuration, command.cell.name) != configuration.cells.end())
    return {{"cell " + command.cell.name, "exists already"}};
  configuration.cells.push_back(command.cell);
  return {};
}

Errors edit(Configuration& configuration, const DropCell& command) {
  auto cell = find_cell(configuration, command.name);
  if (cell == configuration.cells.end())
    return unknown_cell(command.name);
  configuration.cells.erase(cell);
  return {};
}

Errors edit(Configuration& configuration, const UpdateCell& command) {
  auto cell = find_cell(configuration, command.name);
  if (cell == configuration.cells.end())
    return unknown_cell(command.name);
  switch (command.property) {
    case UpdateCell::Property::budget:
      cell->budget = command.value;
      break;
    case UpdateCell::Property::turn_limit:
      cell->turn_limit = command.value;
      break;
    case UpdateCell::Property::retention:
      cell->retention_ms = static_cast<int64_t>(command.value);
      break;
  }
  return {};
}

/// Applies a command to the metadata's configuration and returns the result as a change based on its revision.
template <class CellCommand>
Result<Transformation> apply_to_configuration(const CellCommand& command, const Metadata& metadata) {
  auto configuration = metadata.configuration;
  auto errors = edit(configuration, command);
  if (!errors.empty())
    return errors;
  return Transformation{ApplyConfiguration{metadata.revision, configuration}};
}

Result<Transformation> not_a_change() {
  return Errors{{"command", "changes nothing in the log"}};
}

}  // namespace

Result<Transformation> to_transformation(const Command& command, const Metadata& metadata) {
  return std::visit(
      overload{[](const Transformation& change) -> Result<Transformation> { return change; },
               [&](const CreateCell& create) { return apply_to_configuration(create, metadata); },
               [&](const DropCell& drop) { return apply_to_configuration(drop, metadata); },
               [&](const UpdateCell& update) { return apply_to_configuration(update, metadata); },
               [](const ShowQuery&) { return not_a_change(); }, [](const ExplainQuery&) { return not_a_change(); },
               [](const RebuildCore&) {
                 return not_a_change();
               }},
      command);
}

}  // namespace mosskeel::command_language
