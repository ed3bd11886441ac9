#pragma once
// Finding the text of a chain of turns in stored histories.
#include "history/stored_partition.hpp"

namespace mosskeel {

/// The concatenated inputs and outputs of the chain that ends with this turn, or nothing where these records do not
/// hold it whole.
std::optional<std::string> chain_text(const Records& records, const std::string& turn);

/// The same from whichever of the store's histories holds the chain whole.
std::optional<std::string> find_chain_text(const StoredPartitions& partitions, const std::string& turn);

}  // namespace mosskeel
