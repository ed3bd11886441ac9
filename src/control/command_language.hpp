#pragma once
// The operators' small language: sentences in, commands or findings with their position out.
#include "metadata/transformation.hpp"

namespace mosskeel::command_language {

struct ShowQuery {
  std::string what, name;
};
struct ExplainQuery {
  std::string what, name;
};
struct CreateCell {
  Cell cell;
};
struct DropCell {
  std::string name;
};
struct UpdateCell {
  std::string name, field;
  uint64_t value = 0;
};
struct Change {
  Transformation t;
};
struct RebuildCore {
  std::vector<DaemonId> lost;
};
using Command = std::variant<ShowQuery, ExplainQuery, CreateCell, DropCell, UpdateCell, Change, RebuildCore>;

/// A command, or where the sentence went wrong and what was expected there.
Result<Command> parse(const std::string& sentence);

/// The answer to a question, from the metadata and the entries still kept.
std::string show(const ShowQuery& s, const Metadata& m);
std::string explain(const ExplainQuery& x, const Metadata& m, const std::vector<Entry>& recent);
/// What a naming command asks of the log, or why it cannot be asked.
Result<Transformation> to_transformation(const Command& c, const Metadata& m);

}  // namespace mosskeel::command_language
