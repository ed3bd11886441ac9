#include "mosskeel/hash.hpp"

#include <charconv>
#include <cstdio>

namespace mosskeel {

uint64_t digest(std::string_view s, uint64_t seed) {
  uint64_t h = seed;
  for (unsigned char c : s)
    h = (h ^ c) * 1099511628211ULL;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

std::string hex(uint64_t x) {
  char b[17];
  snprintf(b, sizeof b, "%016llx", static_cast<unsigned long long>(x));
  return b;
}

std::optional<uint64_t> unhex(std::string_view s) {
  uint64_t x = 0;
  auto [p, e] = std::from_chars(s.data(), s.data() + s.size(), x, 16);
  if (e != std::errc{} || p != s.data() + s.size())
    return std::nullopt;
  return x;
}

}  // namespace mosskeel
