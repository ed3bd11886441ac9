#include "operator/control.hpp"

namespace mosskeel {
namespace {

std::vector<const ControlDialect*>& registry() {
  static std::vector<const ControlDialect*> v;
  return v;
}

}  // namespace

const ControlDialect* control_dialect(const std::string& name) {
  for (auto* d : registry())
    if (name == d->name()) return d;
  return nullptr;
}

ControlEnrolled::ControlEnrolled(const ControlDialect* d) {
  registry().push_back(d);
}

}  // namespace mosskeel
