#pragma once
// The operators' command language: parses a sentence into a command, and answers queries from the metadata.
// The grammar is in docs/operators.md.
#include "metadata/transformation.hpp"

namespace mosskeel::command_language {

/// `show SUBJECT`: prints a part of the metadata. The language calls partitions slots.
struct ShowQuery {
  enum class Subject { fleet, epoch, cells, replicas, partitions, sequences, configuration, cell };
  Subject subject{};
  /// The cell's name; only for `Subject::cell`.
  std::string name;
};

/// `explain SUBJECT NAME`: prints one item's state and the log entries that led to it.
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

/// `rebuild core without`: founds the core anew, because these members are lost for good.
struct RebuildCore {
  std::vector<DaemonId> lost;
};

/// A plain `Transformation` stands for all sentences that name a change of the log directly.
using Command = std::variant<ShowQuery, ExplainQuery, CreateCell, DropCell, UpdateCell, RebuildCore, Transformation>;

/// Parses a sentence. Its one finding names the position of the error and the words that were expected there.
Result<Command> parse(const std::string& sentence);

/// The response to a query: "yes" and lines of text, or "no: " and the reason.
std::string show(const ShowQuery& query, const Metadata& metadata);

/// As `show`; `recent_entries` are the log entries that this controller still keeps.
std::string explain(const ExplainQuery& query, const Metadata& metadata, const std::vector<Entry>& recent_entries);

/// The log's change that a command asks for, built on this metadata; errors where the command does not apply to it
/// or is a query.
Result<Transformation> to_transformation(const Command& command, const Metadata& metadata);

}  // namespace mosskeel::command_language
