#include "mosskeel/hash.hpp"

#include <charconv>
#include <cstdio>

namespace mosskeel {

uint64_t digest(std::string_view bytes, uint64_t seed) {
  constexpr uint64_t kFnvPrime = 1099511628211ULL;
  uint64_t hash = seed;
  for (unsigned char byte : bytes)
    hash = (hash ^ byte) * kFnvPrime;
  // MurmurHash3's finalizer, because FNV-1a alone mixes the last bytes poorly.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

std::string hex(uint64_t number) {
  char digits[17];
  snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
  return digits;
}

std::optional<uint64_t> unhex(std::string_view digits) {
  uint64_t number = 0;
  const char* end = digits.data() + digits.size();
  auto [parsed_to, error] = std::from_chars(digits.data(), end, number, 16);
  if (error != std::errc{} || parsed_to != end)
    return std::nullopt;
  return number;
}

}  // namespace mosskeel
