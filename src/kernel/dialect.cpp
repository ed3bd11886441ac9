#include "kernel/dialect.hpp"

#include <strings.h>

namespace mosskeel {
namespace {

std::vector<const Dialect*>& registry() {
  static std::vector<const Dialect*> v;
  return v;
}

}  // namespace

std::string_view field(const Fields& f, std::string_view name) {
  for (auto& [k, v] : f)
    if (k.size() == name.size() && strncasecmp(k.data(), name.data(), k.size()) == 0) return v;
  return {};
}

const Dialect* dialect(const std::string& name) {
  for (auto* d : registry())
    if (name == d->name()) return d;
  return nullptr;
}

DialectEnrolled::DialectEnrolled(const Dialect* d) {
  registry().push_back(d);
}

}  // namespace mosskeel
