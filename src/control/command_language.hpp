#pragma once
// The operators' command language: parses a sentence into a command and answers queries from the metadata.
// docs/operators.md contains the grammar.
#include "metadata/transformation.hpp"

namespace mosskeel::command_language {

/// `show SUBJECT`: prints part of the metadata. The language calls partitions "slots".
struct ShowQuery {
  enum class Subject { fleet, epoch, cells, replicas, partitions, sequences, configuration, cell };
  Subject subject{};
  /// The name of the cell; set only for `Subject::cell`.
  std::string name;
};

/// `explain SUBJECT NAME`: prints the state of one item and the log entries that led to it.
struct ExplainQuery {
  enum class Subject { node, partition, epoch, program };
  Subject subject{};
  /// A number as the operator typed it, or CELL/PROGRAM for `Subject::program`.
  std::string name;
};

/// `create cell`: adds a cell to the configuration.
struct CreateCell {
  Cell cell{};
};

/// `drop cell`: removes a cell from the configuration.
struct DropCell {
  std::string name;
};

/// `set cell`: changes one property of a cell.
struct UpdateCell {
  enum class Property { budget, turn_limit, retention };
  std::string name;
  Property property{};
  /// Tokens, or milliseconds for `Property::retention`.
  uint64_t value = 0;
};

/// `rebuild core without`: refounds the core without these members, which are permanently lost.
struct RebuildCore {
  std::vector<DaemonId> lost;
};

/// A plain `Transformation` represents every sentence that maps directly to a change of the log.
using Command = std::variant<ShowQuery, ExplainQuery, CreateCell, DropCell, UpdateCell, RebuildCore, Transformation>;

/// Parses a sentence. On failure returns a single error with the position and the words that were expected there.
Result<Command> parse(const std::string& sentence);

/// Returns the response to a query: "yes" followed by lines of text, or "no: " and the reason.
std::string show(const ShowQuery& query, const Metadata& metadata);

/// Like `show`. `recent_entries` are the log entries that this controller still keeps.
std::string explain(const ExplainQuery& query, const Metadata& metadata, const std::vector<Entry>& recent_entries);

/// Converts a command to a change of the log, based on this metadata. Returns errors if the command does not apply to
/// the metadata or changes nothing in the log.
Result<Transformation> to_transformation(const Command& command, const Metadata& metadata);

}  // namespace mosskeel::command_language
