#pragma once
// Lookup of the text of a chain of turns in stored histories.
#include "history/stored_partition.hpp"

namespace mosskeel {

/// The concatenated inputs and outputs of the chain that ends with this turn, or nothing if the records do not contain
/// the complete chain.
std::optional<std::string> chain_text(const Records& records, const std::string& turn);

/// As `chain_text`, searching all histories of the store for one that contains the complete chain.
std::optional<std::string> find_chain_text(const StoredPartitions& partitions, const std::string& turn);

}  // namespace mosskeel
