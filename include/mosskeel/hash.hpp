#pragma once
// Stable hashing and its hexadecimal form.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mosskeel {

/// FNV-1a with a final mix; the same on all machines. Used for partitions, seals, commit ids and affinity.
uint64_t digest(std::string_view bytes, uint64_t seed = 1469598103934665603ULL);
/// 16 lower-case hexadecimal digits.
std::string hex(uint64_t number);
/// The number that `hex` wrote; nothing for anything but hexadecimal digits.
std::optional<uint64_t> unhex(std::string_view digits);

}  // namespace mosskeel
