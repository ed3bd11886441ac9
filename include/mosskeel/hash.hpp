#pragma once
// Stable hashing and hexadecimal formatting of hashes.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mosskeel {

/// Hashes with FNV-1a and a finalizer; the result is the same on all machines. Used for partitions, seals, commit ids
/// and affinity.
uint64_t digest(std::string_view bytes, uint64_t seed = 1469598103934665603ULL);
/// Formats a number as 16 lower-case hexadecimal digits.
std::string hex(uint64_t number);
/// Parses the output of `hex`. Returns nullopt unless `digits` is a hexadecimal number.
std::optional<uint64_t> unhex(std::string_view digits);

}  // namespace mosskeel
