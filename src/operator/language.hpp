#pragma once
// The operators' small language: sentences in, commands or findings with their position out.
#include "metadata/transform.hpp"

namespace mosskeel::operators {

struct Show {
  std::string what, name;
};
struct Explain {
  std::string what, name;
};
struct CreateCell {
  Cell cell;
};
struct DropCell {
  std::string name;
};
struct SetCell {
  std::string name, field;
  uint64_t value = 0;
};
struct Change {
  Transformation t;
};
struct RebuildCore {
  std::vector<DaemonId> lost;
};
using Command = std::variant<Show, Explain, CreateCell, DropCell, SetCell, Change, RebuildCore>;

/// A command, or where the sentence went wrong and what was expected there.
Result<Command> parse(const std::string& sentence);

/// The answer to a question, from the metadata and the entries still kept.
std::string show(const Show& s, const Metadata& m);
std::string explain(const Explain& x, const Metadata& m, const std::vector<Entry>& recent);
/// What a naming command asks of the log, or why it cannot be asked.
Result<Transformation> to_change(const Command& c, const Metadata& m);

}  // namespace mosskeel::operators
